package kctroutes

import (
	"cmp"
	"slices"
	"strings"

	kctport "kingcupturn"
)

// Table is an index of routes by host; it is immutable.
type Table struct {
	hosts map[string][]*kctport.Route
}

var _ kctport.RouteTable = (*Table)(nil)

// NewTable indexes the routes of one version of the rules.
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

// Match returns the route of the host with the longest prefix that begins the path.
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

// hostname removes a port.
func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
