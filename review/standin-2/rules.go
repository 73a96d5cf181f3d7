package main

// route is a route of the configuration.
type route struct {
	Name     string   `json:"name"`
	Host     string   `json:"host"`
	Prefix   string   `json:"path-prefix"`
	Kind     string   `json:"route-kind"`
	Timeout  int      `json:"timeout-ms"`
	Latency  int      `json:"target-latency-ms"`
	Priority int      `json:"priority"`
	Service  string   `json:"service,omitempty"`
	Gather   []string `json:"gather,omitempty"`
	Attempts int      `json:"max-attempts"`
	Top      int      `json:"top-k,omitempty"`
	Coverage float64  `json:"min-coverage,omitempty"`
}

// service is a service of the configuration.
type service struct {
	Name     string  `json:"name"`
	Health   string  `json:"health-path"`
	Conns    int     `json:"max-conns"`
	Protocol string  `json:"protocol"`
	TLS      bool    `json:"tls"`
	ColdFor  float64 `json:"cold-start-s"`
	ColdRate float64 `json:"cold-per-s"`
}

// config is a version of the configuration.
type config struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
}

type limits struct {
	Header        int `json:"max-header-bytes"`
	Body          int `json:"max-body-bytes"`
	HeaderTimeout int `json:"header-timeout-ms"`
	IdleTimeout   int `json:"idle-timeout-ms"`
}

var siteLimits = limits{16384, 262144, 3000, 15000}
