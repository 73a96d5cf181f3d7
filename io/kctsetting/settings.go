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

// Settings contains the validated settings of one entry.
type Settings struct {
	ID       kctport.InstanceID
	Zone     kctport.Zone
	Peer     netip.AddrPort
	Caller   netip.AddrPort
	Platform netip.AddrPort
	Seeds    []kctport.Member
	// Lifetime is how long callers may cache the list of entry addresses.
	Lifetime time.Duration
	// MaxConnections is the connection limit of one endpoint.
	MaxConnections int
	// MaxBody is the largest allowed request body in bytes.
	MaxBody int
	// Memory is the memory limit of the process in MiB, Files the number of file descriptors that it may have open.
	Memory int
	Files  int
	// Ownership, Hedge and Picker select the policies for sending, hedging and load balancing.
	Ownership string
	Hedge     string
	Picker    string
}

// The bounds of the settings.
const (
	minLifetime    = time.Second
	maxLifetime    = 10 * time.Minute
	maxConnections = 10_000
	minBody        = 1 << 10
	maxBody        = 4 << 20
)

// Values holds the flag values before validation, so that Check can report all problems at once.
type Values struct {
	id, zone, peer, caller, platform string
	seeds                            stringList
	lifetime                         string
	connections, body, memory, files int
	ownership, hedge, picker         string
}

// stringList is the value of a repeatable flag.
type stringList []string

// String joins the values for the flag package's help.
func (m *stringList) String() string { return strings.Join(*m, ", ") }

// Set appends one value.
func (m *stringList) Set(value string) error {
	*m = append(*m, value)
	return nil
}

// Register adds the settings as flags to a flag set and returns where their values are stored.
func Register(set *flag.FlagSet) *Values {
	var r Values
	set.String("settings", "", "JSON settings `file`; its fields are the names of these flags")
	set.StringVar(&r.id, "id", "", "identifier of this instance")
	set.StringVar(&r.zone, "zone", "", "availability zone of this instance")
	set.StringVar(&r.peer, "peer", "", "`ip:port` for other entries")
	set.StringVar(&r.caller, "caller", "", "`ip:port` for callers and operators")
	set.StringVar(&r.platform, "platform", "", "`ip:port` of the platform")
	set.Var(&r.seeds, "seeds", "an entry to contact while the platform is unavailable, as `id/zone/peer/caller`; repeatable")
	set.StringVar(&r.lifetime, "lifetime", "10s", "how long callers may keep entry addresses, 1s to 10m")
	set.IntVar(&r.connections, "connections", 30, "connection limit of one endpoint, 1 to 10000")
	set.IntVar(&r.body, "body", 64<<10, "largest request body in bytes, 1024 to 4194304")
	set.IntVar(&r.memory, "memory", kctguard.DefaultMemory, "memory limit of the process in MiB, 32 to 65536")
	set.IntVar(&r.files, "files", kctguard.DefaultFiles, "file descriptors of the process, 220 to 1048576; clients get up to half of those for sockets")
	set.StringVar(&r.ownership, "ownership", "owner", "who sends to an endpoint: owner or direct")
	set.StringVar(&r.hedge, "hedge", "adaptive", "second attempts: adaptive, fixed or none")
	set.StringVar(&r.picker, "picker", "load", "choice of endpoint: load or robin")
	return &r
}

// Options makes ff read environment variables and the file that --settings names.
func Options() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix("KINGCUPTURN"),
		ff.WithConfigFileFlag("settings"),
		ff.WithConfigFileParser(ff.JSONParser),
	}
}

// Parse reads the settings from arguments, KINGCUPTURN_ environment variables and the file that --settings names.
// The error wraps ErrInvalid.
func Parse(args []string) (Settings, error) {
	set := flag.NewFlagSet("entry", flag.ContinueOnError)
	values := Register(set)
	if err := ff.Parse(set, args, Options()...); err != nil {
		return Settings{}, eris.Wrapf(kctport.ErrInvalid, "settings: %v", err)
	}
	return values.Check(set.Args())
}

// problems collects every invalid setting, so that an operator can fix all of them at once.
type problems []string

func (p *problems) add(field, value, allowed string) {
	*p = append(*p, fmt.Sprintf("%s: %q is not allowed; allowed is %s", field, value, allowed))
}

func (p *problems) address(field, value string) netip.AddrPort {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		p.add(field, value, "an IP address and a port, as 10.0.0.1:7100")
	}
	return a
}

func (p *problems) between(field string, value, low, high int) {
	if value < low || value > high {
		p.add(field, fmt.Sprint(value), fmt.Sprintf("%d to %d", low, high))
	}
}

func (p *problems) choice(field, value string, allowed ...string) {
	for _, a := range allowed {
		if a == value {
			return
		}
	}
	p.add(field, value, strings.Join(allowed, ", "))
}

// Check returns the validated settings, or ErrInvalid with every problem; args are the arguments after the flags.
func (r *Values) Check(args []string) (Settings, error) {
	var p problems
	if len(args) > 0 {
		p.add("arguments", strings.Join(args, " "), "none")
	}
	s := Settings{
		ID: kctport.InstanceID(r.id), Zone: kctport.Zone(r.zone),
		Peer: p.address("peer", r.peer), Caller: p.address("caller", r.caller), Platform: p.address("platform", r.platform),
		MaxConnections: r.connections, MaxBody: r.body, Memory: r.memory, Files: r.files,
		Ownership: r.ownership, Hedge: r.hedge, Picker: r.picker,
	}
	p.name("id", r.id)
	p.name("zone", r.zone)
	if s.Peer == s.Caller {
		p.add("caller", r.caller, "an address other than that of peer")
	}
	s.Seeds = p.seeds(r.seeds)
	s.Lifetime = p.duration("lifetime", r.lifetime, minLifetime, maxLifetime)
	p.between("connections", r.connections, 1, maxConnections)
	p.between("body", r.body, minBody, maxBody)
	p.between("memory", r.memory, minMemory, maxMemory)
	p.between("files", r.files, minFiles, maxFiles)
	p.choice("ownership", r.ownership, "owner", "direct")
	p.choice("hedge", r.hedge, "adaptive", "fixed", "none")
	p.choice("picker", r.picker, "load", "robin")
	if err := p.err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// err returns ErrInvalid with every problem, or nil when there is none.
func (p problems) err() error {
	if len(p) == 0 {
		return nil
	}
	return eris.Wrap(kctport.ErrInvalid, "settings: "+strings.Join(p, "; "))
}

func (p *problems) name(field, value string) {
	if value == "" || strings.ContainsAny(value, " /\t\n") || len(value) > 64 {
		p.add(field, value, "1 to 64 characters without spaces and slashes")
	}
}

func (p *problems) duration(field, value string, low, high time.Duration) time.Duration {
	d, err := time.ParseDuration(value)
	if err != nil || d < low || d > high {
		p.add(field, value, fmt.Sprintf("a duration from %s to %s", low, high))
	}
	return d
}

func (p *problems) seeds(values []string) []kctport.Member {
	var out []kctport.Member
	for _, value := range values {
		fields := strings.Split(value, "/")
		if len(fields) != 4 {
			p.add("seeds", value, "id/zone/peer/caller")
			continue
		}
		out = append(out, kctport.Member{
			ID: kctport.InstanceID(fields[0]), Zone: kctport.Zone(fields[1]),
			Peer: p.address("seeds", fields[2]), Caller: p.address("seeds", fields[3]),
		})
	}
	return out
}
