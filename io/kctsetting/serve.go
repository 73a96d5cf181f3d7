package kctsetting

import (
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctguard"
)

// Serving contains the validated settings of an entry on the users' platform.
type Serving struct {
	ID   kctport.InstanceID
	Zone kctport.Zone
	// Caller is the address for callers' requests, Ready for readiness checks, Directory for callers that look up active entries.
	Caller    netip.AddrPort
	Ready     netip.AddrPort
	Directory netip.AddrPort
	// Metrics is the address that metrics are scraped from.
	Metrics netip.AddrPort
	// Peer is the address for connections from other entries.
	Peer netip.AddrPort
	// Relay is the address for attempts relayed from entries of other zones; its IP address is that of Peer.
	Relay netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// Cores is the CPU time that the process may use, in cores.
	Cores float64
	// Memory is the memory limit of the process in MiB.
	Memory int
	// Files is the number of file descriptors that the process may have open.
	Files int
	// Grace is the time from the request to stop until the process has ended.
	Grace time.Duration
	// Ratio and Slack limit the extra attempts for a service over all entries in one window: Ratio times its requests plus Slack.
	Ratio float64
	Slack float64
	// Zones holds the region of each availability zone of the deployment, empty for a zone without one; it is nil when the zones are unknown.
	Zones map[kctport.Zone]kctport.Region
	// Overshoot and ColdSlack limit the requests to a cold endpoint in one second over all entries: its rate times Overshoot plus ColdSlack.
	Overshoot float64
	ColdSlack float64
	// Apply is the longest time until a change of the rules is in force.
	Apply time.Duration
	// Heartbeat is about how often endpoints write their records; a record expires after three such times without a write.
	Heartbeat time.Duration
	// Drain is how long an endpoint answers requests after it has said that it leaves.
	Drain time.Duration
	// Expose and ExposeSlack limit the requests to a version that may turn out to be bad, until the deadline of its move: Expose times the requests of its
	// service plus ExposeSlack.
	Expose      float64
	ExposeSlack float64
}

// The bounds and defaults of the settings; the defaults follow the values in the platform's site files.
const (
	minMemory = 32
	maxMemory = 64 << 10
	// minFiles leaves a few for sockets beside those reserved for files.
	minFiles     = 220
	maxFiles     = 1 << 20
	minGrace     = time.Second
	maxGrace     = 5 * time.Minute
	defaultGrace = "6s"
	defaultRatio = 0.2
	maxRatio     = 1
	maxCores     = 256
	defaultSlack = 50
	maxSlack     = 1e6
	minApply     = 500 * time.Millisecond
	maxApply     = time.Minute
	defaultApply = "3s"
	minDrain     = 100 * time.Millisecond
	maxDrain     = 10 * time.Minute
	defaultDrain = "3s"
	minHeartbeat = 100 * time.Millisecond
	maxHeartbeat = time.Minute
	// defaultHeartbeat is the value of the users' deployments.
	defaultHeartbeat = "1.2s"
	// defaultOvershoot and defaultColdSlack are the limits for cold endpoints that the users require.
	defaultOvershoot = 1.5
	defaultColdSlack = 5
	maxOvershoot     = 100
	// defaultExpose and defaultExposeSlack are the limits for versions that the users require.
	defaultExpose      = 0.1
	defaultExposeSlack = 50
)

// ServingValues holds the flag values before validation, so that Check can report all problems at once.
type ServingValues struct {
	id, zone, caller, ready, directory, metrics, peer, relay, store, grace, zones, apply, heartbeat, drain string
	memory, files                                                                                          int
	ratio, slack, quota, cores, overshoot, coldSlack, expose, exposeSlack                                  float64
}

// RegisterServing adds the settings as flags to a flag set and returns where their values are stored.
func RegisterServing(set *flag.FlagSet) *ServingValues {
	var v ServingValues
	set.String("config", "", "JSON settings `file`; its fields are the names of these flags; unknown ones are ignored")
	set.StringVar(&v.id, "id", "", "identifier of this instance")
	set.StringVar(&v.zone, "zone", "", "availability zone of this instance")
	set.StringVar(&v.caller, "caller", "", "`ip:port` for callers' requests")
	set.StringVar(&v.ready, "ready", "", "`ip:port` for readiness checks")
	set.StringVar(&v.directory, "directory", "", "`ip:port` for callers that ask where to connect")
	set.StringVar(&v.metrics, "metrics", "", "`ip:port` for metrics")
	set.StringVar(&v.peer, "peer", "", "`ip:port` for other entries")
	set.StringVar(&v.relay, "relay", "", "`ip:port` for attempts of entries of other zones, with the IP address of peer")
	set.StringVar(&v.store, "store", "", "`ip:port` of the platform's store")
	set.StringVar(&v.grace, "grace", defaultGrace, "time between the request to stop and the end, 1s to 5m")
	set.IntVar(&v.memory, "memory", kctguard.DefaultMemory, "memory limit of the process in MiB, 32 to 65536")
	set.IntVar(&v.files, "files", kctguard.DefaultFiles, "file descriptors of the process, 220 to 1048576; clients get up to half of those for sockets")
	set.Float64Var(&v.quota, "quota", 1, "share of a core that the process may use, above 0 to 1")
	set.Float64Var(&v.cores, "cores", 1, "number of cores, above 0 to 256")
	set.Float64Var(&v.ratio, "ratio", defaultRatio, "extra attempts at a service over all entries, as a share of its requests, 0 to 1")
	set.Float64Var(&v.slack, "slack", defaultSlack, "extra attempts beyond the share in one window, 0 to 1000000")
	set.StringVar(&v.zones, "zones", "", "names of all availability zones, separated by commas, each with its region as in `zone=region`")
	set.StringVar(&v.apply, "apply", defaultApply, "time within which a change of the rules must be in force, 500ms to 1m")
	set.StringVar(&v.heartbeat, "heartbeat", defaultHeartbeat, "time between two writes of an endpoint's record, 100ms to 1m")
	set.StringVar(&v.drain, "drain", defaultDrain, "time for which an endpoint that leaves answers requests, 100ms to 10m")
	set.Float64Var(&v.overshoot, "overshoot", defaultOvershoot, "factor of a cold endpoint's rate that all entries together may send in one second, 0 to 100")
	set.Float64Var(&v.coldSlack, "coldslack", defaultColdSlack, "requests to a cold endpoint beyond that in one second, 0 to 1000000")
	set.Float64Var(&v.expose, "expose", defaultExpose, "part of a service's requests that a version may get before the end of its move, above 0 to 1")
	set.Float64Var(&v.exposeSlack, "exposeslack", defaultExposeSlack, "requests to such a version beyond that, 0 to 1000000")
	return &v
}

// ServingOptions makes ff read environment variables and the file that --config names, and ignore unknown fields.
func ServingOptions() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix("KINGCUPTURN"),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(ff.JSONParser),
		ff.WithIgnoreUndefined(true),
	}
}

// ParseServing reads the settings from arguments, KINGCUPTURN_ environment variables and the file that --config names.
// The error wraps ErrInvalid.
func ParseServing(args []string) (Serving, error) {
	set := flag.NewFlagSet("serve", flag.ContinueOnError)
	values := RegisterServing(set)
	if err := ff.Parse(set, args, ServingOptions()...); err != nil {
		return Serving{}, eris.Wrapf(kctport.ErrInvalid, "settings: %v", err)
	}
	return values.Check(set.Args())
}

// Check returns the validated settings, or ErrInvalid with every problem; args are the arguments after the flags.
func (v *ServingValues) Check(args []string) (Serving, error) {
	var p problems
	if len(args) > 0 {
		p.add("arguments", fmt.Sprint(args), "none")
	}
	p.name("id", v.id)
	p.name("zone", v.zone)
	s := Serving{
		ID: kctport.InstanceID(v.id), Zone: kctport.Zone(v.zone),
		Caller: p.address("caller", v.caller), Ready: p.address("ready", v.ready), Directory: p.address("directory", v.directory),
		Metrics: p.address("metrics", v.metrics), Peer: p.address("peer", v.peer), Relay: p.address("relay", v.relay), Store: p.address("store", v.store),
		Cores: v.quota * v.cores, Memory: v.memory, Files: v.files, Ratio: v.ratio, Slack: v.slack,
		Overshoot: v.overshoot, ColdSlack: v.coldSlack, Expose: v.expose, ExposeSlack: v.exposeSlack, Zones: parseZones(v.zones),
		Grace: p.duration("grace", v.grace, minGrace, maxGrace), Apply: p.duration("apply", v.apply, minApply, maxApply),
		Heartbeat: p.duration("heartbeat", v.heartbeat, minHeartbeat, maxHeartbeat), Drain: p.duration("drain", v.drain, minDrain, maxDrain),
	}
	if s.Relay.Addr() != s.Peer.Addr() {
		p.add("relay", v.relay, "the IP address of peer")
	}
	p.between("memory", v.memory, minMemory, maxMemory)
	p.between("files", v.files, minFiles, maxFiles)
	p.upTo("quota", v.quota, 1)
	p.upTo("cores", v.cores, maxCores)
	if s.Cores <= 0 {
		p.add("cores", fmt.Sprint(v.cores), "together with quota above 0")
	}
	p.upTo("ratio", v.ratio, maxRatio)
	p.upTo("slack", v.slack, maxSlack)
	p.upTo("overshoot", v.overshoot, maxOvershoot)
	p.upTo("coldslack", v.coldSlack, maxSlack)
	p.upTo("expose", v.expose, 1)
	if v.expose == 0 {
		p.add("expose", "0", "above 0")
	}
	p.upTo("exposeslack", v.exposeSlack, maxSlack)
	return s, p.err()
}

// parseZones returns the zones of a comma-separated list with their regions; empty names are left out.
func parseZones(list string) map[kctport.Zone]kctport.Region {
	zones := map[kctport.Zone]kctport.Region{}
	for _, name := range strings.FieldsFunc(list, func(r rune) bool { return r == ',' }) {
		if zone, region, _ := strings.Cut(name, "="); zone != "" {
			zones[kctport.Zone(zone)] = kctport.Region(region)
		}
	}
	return zones
}

// upTo accepts numbers from 0 to high; it refuses NaN.
func (p *problems) upTo(field string, value, high float64) {
	if !(value >= 0 && value <= high) {
		p.add(field, fmt.Sprint(value), fmt.Sprintf("0 to %g", high))
	}
}
