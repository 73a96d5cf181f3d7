package kctroutetable

import (
	"cmp"
	"slices"
	"strings"

	kctport "kingcupturn"
)

// Table is an immutable index of routes by host.
type Table struct {
	// hosts holds the routes of each lower-case host, longest prefix first.
	hosts map[string][]*kctport.Route
}

var _ kctport.RouteTable = (*Table)(nil)

// NewTable indexes the routes of one rules version.
func NewTable(rules *kctport.Rules) *Table {
	t := &Table{hosts: map[string][]*kctport.Route{}}
	for i := range rules.Routes {
		r := &rules.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *kctport.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route of the host with the longest prefix of the path, nil without one; the host may have a port.
func (t *Table) Match(host, path string) *kctport.Route {
	routes, ok := t.hosts[host]
	if !ok {
		routes = t.hosts[strings.ToLower(hostname(host))]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostname returns the host without its port.
func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
