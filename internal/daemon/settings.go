// Package daemon assembles the two daemons, glade-gateway and glade-controller, from
// their settings: a supervisor tree of parts that are started and stopped in order.
package daemon

import (
	"net/netip"
	"time"

	"auburnglade.example/glade/internal/audit"
	"auburnglade.example/glade/internal/gateway"
	"auburnglade.example/glade/internal/httpserve"
	"auburnglade.example/glade/internal/jobs"
	"auburnglade.example/glade/internal/report"
	"auburnglade.example/glade/internal/storelimit"
)

// ProcessSettings configure the name and location of this process.
type ProcessSettings struct {
	ID     string `ini:"id" want:"name" required:"true" help:"Name of this process. A start adds a suffix, so that a replacement never passes for its predecessor."`
	Zone   string `ini:"zone" want:"name" required:"true" help:"Availability zone this host is in."`
	Region string `ini:"region" want:"name" help:"Region this host is in."`
}

// PlatformSettings configure how the platform is reached.
type PlatformSettings struct {
	URL              string        `ini:"url" want:"url" required:"true" help:"Base URL of the platform, with an IP number."`
	HostListInterval time.Duration `ini:"hosts_every" help:"Least time between two readings of the host list; a long list that keeps changing is read more rarely, within the bandwidth of a node."`
}

// StoreSettings limit the rate of calls to the platform's store.
type StoreSettings struct {
	MaxCallRate int `ini:"calls_per_second" help:"Most calls a second that this process makes to the store."`
	FleetCalls  int `ini:"fleet_calls_per_second" help:"Calls a second that all processes together make while the store throttles or has just come back."`
}

func defaultStore() StoreSettings {
	return StoreSettings{MaxCallRate: storelimit.DefaultMaxRate, FleetCalls: storelimit.DefaultFleetRate}
}

// PeerSettings configure the addresses of other processes.
type PeerSettings struct {
	Addresses []netip.AddrPort `ini:"addresses" help:"Peer addresses of other processes, asked for the configuration when the store is away."`
}

func (p PeerSettings) strings() []string {
	list := make([]string, len(p.Addresses))
	for i, address := range p.Addresses {
		list[i] = address.String()
	}
	return list
}

// LogSettings configure the log.
type LogSettings struct {
	Level string `ini:"level" want:"debug|info|warn|error" help:"Least severe level that is logged: debug, info, warn or error."`
}

// TraceSettings configure tracing.
type TraceSettings struct {
	URL string `ini:"otlp_url" help:"OTLP/HTTP URL that spans are sent to. Empty sends none."`
}

// StopSettings configure a planned stop.
type StopSettings struct {
	DrainDelay time.Duration `ini:"notice" help:"How long requests are still accepted after readiness has failed, for the balancer to notice."`
	Grace      time.Duration `ini:"grace" help:"How long requests in flight may take to finish."`
}

// GatewayListen holds the addresses on which a gateway listens.
type GatewayListen struct {
	Callers netip.AddrPort `ini:"callers" required:"true" help:"Address that callers reach, IP number and port."`
	// CallersHTTP is for use behind a balancer that terminates TLS.
	CallersHTTP bool           `ini:"callers_http" help:"Serve callers over plain HTTP, behind a balancer that ends TLS."`
	Peers       netip.AddrPort `ini:"peers" required:"true" help:"Address that other processes reach."`
	Admin       netip.AddrPort `ini:"admin" required:"true" help:"Address of /metrics, /healthz and /readyz."`
}

// CallerSettings limit the resources that callers may use on a gateway.
type CallerSettings struct {
	MaxConnections          int           `ini:"max_connections" help:"Most open connections of all callers. 0 means no bound."`
	MaxConnectionsPerCaller int           `ini:"max_connections_per_caller" help:"Most open connections of one caller, by IP address. 0 means no bound; raise it when the balancer hides the callers' addresses."`
	HeaderTimeout           time.Duration `ini:"header_timeout" help:"How long a request's header may take to arrive."`
	MaxHeaderBytes          int           `ini:"max_header_bytes" help:"Largest header of a request, in bytes."`
	MaxBodyBytes            int           `ini:"max_body_bytes" help:"Largest body of a request, in bytes."`
	IdleTimeout             time.Duration `ini:"idle_timeout" help:"How long a connection may carry no request."`
}

func defaultCallers() CallerSettings {
	return CallerSettings{
		MaxConnections: 4096, MaxConnectionsPerCaller: 1024, HeaderTimeout: httpserve.DefaultHeaderTimeout,
		MaxHeaderBytes: httpserve.DefaultMaxHeaderBytes, MaxBodyBytes: gateway.DefaultMaxBodyBytes, IdleTimeout: httpserve.DefaultIdleTimeout,
	}
}

// GatewaySettings holds the settings of glade-gateway.
type GatewaySettings struct {
	Process  ProcessSettings  `ini:"process"`
	Listen   GatewayListen    `ini:"listen"`
	Callers  CallerSettings   `ini:"callers"`
	Platform PlatformSettings `ini:"platform"`
	Store    StoreSettings    `ini:"store"`
	Peers    PeerSettings     `ini:"peers"`
	Stop     StopSettings     `ini:"stop"`
	Log      LogSettings      `ini:"log"`
	Trace    TraceSettings    `ini:"trace"`
	Auth     AuthSettings     `ini:"keys"`
}

// ControllerListen holds the addresses on which a controller listens.
type ControllerListen struct {
	Operators netip.AddrPort `ini:"operators" required:"true" help:"Address of the operators' API, IP number and port."`
	Peers     netip.AddrPort `ini:"peers" required:"true" help:"Address that other processes reach."`
	Admin     netip.AddrPort `ini:"admin" required:"true" help:"Address of /metrics, /healthz and /readyz."`
}

// ReconcileSettings configure a controller's reconcile loops.
type ReconcileSettings struct {
	Interval  time.Duration `ini:"interval" help:"Pause between two rounds of observing and deciding."`
	MemberTTL time.Duration `ini:"hold_ttl" help:"How long the decisions of a lost controller wait for another to take over."`
}

// JobsSettings configure the leases of tasks and the polling of workers.
type JobsSettings struct {
	LeaseTTL       time.Duration `ini:"lease_ttl" help:"How long a task runs on when nobody renews it. A task of a host that the platform can't reach starts elsewhere only after that."`
	ReportInterval time.Duration `ini:"report_interval" help:"Pause between two readings of the workers' usage reports."`
}

// AuditSettings configure the audit log.
type AuditSettings struct {
	KeepDays int `ini:"keep_days" help:"How many days of changes by operators are kept."`
}

// ReportSettings configure the history from which reports of waves are generated.
type ReportSettings struct {
	Sample time.Duration `ini:"sample" help:"Pause between two samples of availability while a wave runs."`
	Write  time.Duration `ini:"write" help:"Pause between two writes of a wave's samples to the store."`
}

// ControllerSettings holds the settings of glade-controller.
type ControllerSettings struct {
	Process   ProcessSettings   `ini:"process"`
	Listen    ControllerListen  `ini:"listen"`
	Platform  PlatformSettings  `ini:"platform"`
	Store     StoreSettings     `ini:"store"`
	Peers     PeerSettings      `ini:"peers"`
	Reconcile ReconcileSettings `ini:"decide"`
	Jobs      JobsSettings      `ini:"jobs"`
	Stop      StopSettings      `ini:"stop"`
	Log       LogSettings       `ini:"log"`
	Trace     TraceSettings     `ini:"trace"`
	Auth      AuthSettings      `ini:"keys"`
	Audit     AuditSettings     `ini:"audit"`
	Report    ReportSettings    `ini:"report"`
}

// DefaultGatewaySettings returns the default settings; required keys are empty.
func DefaultGatewaySettings() *GatewaySettings {
	return &GatewaySettings{
		Process:  ProcessSettings{Region: "main"},
		Store:    defaultStore(),
		Platform: defaultPlatform(),
		Callers:  defaultCallers(),
		Stop:     defaultStop(),
		Log:      LogSettings{Level: "info"},
		Auth:     defaultAuth(),
	}
}

// DefaultControllerSettings returns the default settings; required keys are empty.
func DefaultControllerSettings() *ControllerSettings {
	return &ControllerSettings{
		Process:   ProcessSettings{Region: "main"},
		Reconcile: ReconcileSettings{Interval: time.Second, MemberTTL: 6 * time.Second},
		Store:     defaultStore(),
		Platform:  defaultPlatform(),
		Stop:      defaultStop(),
		Log:       LogSettings{Level: "info"},
		Jobs:      JobsSettings{LeaseTTL: jobs.DefaultLeaseTTL, ReportInterval: jobs.DefaultReportInterval},
		Report:    ReportSettings{Sample: report.DefaultSampleInterval, Write: report.DefaultWriteInterval},
		Audit:     AuditSettings{KeepDays: audit.DefaultRetentionDays},
		Auth:      defaultAuth(),
	}
}

func defaultPlatform() PlatformSettings { return PlatformSettings{HostListInterval: time.Second} }

func defaultStop() StopSettings {
	return StopSettings{DrainDelay: 5 * time.Second, Grace: 40 * time.Second}
}
