package entryhost

import (
	"slices"
	"strconv"
	"time"

	"auburnglade.example/glade/internal/carrier"
	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/settings"
)

// Settings are the contents of the optional INI file. The location and resources of
// this process are configured in the platform's own settings file.
type Settings struct {
	Log     LogSettings     `ini:"log"`
	Runtime RuntimeSettings `ini:"runtime"`
	Carrier CarrierSettings `ini:"carrier"`
	Hosts   HostSettings    `ini:"hosts"`
	Clients ClientSettings  `ini:"clients"`
}

// ClientSettings limit what all clients together may make the process hold, and for how long.
type ClientSettings struct {
	MemoryPercent     int           `ini:"memory-percent" help:"Memory that clients' connections and requests may take, in percent of the machine's."`
	JobMemoryPercent  int           `ini:"job-memory-percent" help:"Memory that accepted large jobs may take, those with over 8,000 bytes of texts, in percent of the machine's."`
	DescriptorPercent int           `ini:"descriptor-percent" help:"Connections of clients, in percent of the machine's descriptors for sockets."`
	RequestTimeout    time.Duration `ini:"request-timeout" help:"Time from the first byte of a request to its last one."`
	WriteTimeout      time.Duration `ini:"write-timeout" help:"Time until a client has taken a part of its response."`
}

// HostSettings control how hosts are shared out to pools.
type HostSettings struct {
	Allocation string `ini:"allocation" want:"value|need" help:"How hosts go to pools that are short of some: value (to where they bring the most, also busy hosts of a pool with late work) or need (only idle hosts)."`
}

// LogSettings limit the level and the rate of the log.
type LogSettings struct {
	Level          string `ini:"level" want:"debug|info|warn|error" help:"The least level that is written: debug, info, warn or error."`
	LinesPerSecond int    `ini:"lines-per-second" help:"Lines written in a second at most; the rest is counted and left out."`
}

// RuntimeSettings trade memory against processor time.
type RuntimeSettings struct {
	GCPercent int `ini:"gc-percent" help:"Growth of the heap in percent at which it is collected; less keeps less memory and takes more processor time."`
}

// CarrierSettings control when a pool's hosts are called through carriers.
type CarrierSettings struct {
	HostsPerCore int `ini:"hosts-per-core" help:"Hosts of a busy pool that one core can call. A pool with more than its holder's share of a core can call has other entry hosts call them."`
}

// DefaultSettings returns the settings that apply without a settings file.
func DefaultSettings() *Settings {
	return &Settings{
		Log:     LogSettings{Level: "info", LinesPerSecond: 400},
		Runtime: RuntimeSettings{GCPercent: 100},
		Carrier: CarrierSettings{HostsPerCore: carrier.DefaultHostsPerCore},
		Hosts:   HostSettings{Allocation: string(hostmanager.AllocateByNeed)},
		// No client waits as long as the request timeout for an answer. Responses are shorter
		// than a kilobyte. The heap may be twice what lives on it, so that clients' share of
		// memory may double; the other half is the process's own.
		Clients: ClientSettings{MemoryPercent: 25, JobMemoryPercent: 10, DescriptorPercent: 50, RequestTimeout: 30 * time.Second, WriteTimeout: 10 * time.Second},
	}
}

var _ settings.Validator = (*Settings)(nil)

// Check implements settings.Validator.
func (s *Settings) Check() settings.Errors {
	var faults settings.Errors
	if s.Log.LinesPerSecond < 1 {
		faults = append(faults, &settings.Error{Section: "log", Key: "lines-per-second", Got: "less than 1", Want: "1 or more"})
	}
	if s.Runtime.GCPercent < 10 {
		faults = append(faults, &settings.Error{Section: "runtime", Key: "gc-percent", Got: "less than 10", Want: "10 or more"})
	}
	if s.Carrier.HostsPerCore < 1 {
		faults = append(faults, &settings.Error{Section: "carrier", Key: "hosts-per-core", Got: "less than 1", Want: "1 or more"})
	}
	return append(faults, s.Clients.check()...)
}

func (c *ClientSettings) check() settings.Errors {
	return slices.Concat(checkPercent("memory-percent", c.MemoryPercent), checkPercent("job-memory-percent", c.JobMemoryPercent), checkPercent("descriptor-percent", c.DescriptorPercent))
}

func checkPercent(key string, percent int) settings.Errors {
	if percent >= 1 && percent <= 100 {
		return nil
	}
	return settings.Errors{{Section: "clients", Key: key, Got: strconv.Itoa(percent), Want: "1 to 100"}}
}
