package devrun

import (
	"fmt"
	"net/netip"
	"time"

	"auburnglade.example/glade/internal/daemon"
)

// MaxInstance is the highest instance number.
const MaxInstance = 49

// Blocks of loopback addresses, given as the second octet: instance i has its hosts
// in 127.(hostBlock+i), its nth gateway at 127.(gatewayBlock+i).0.n, and so on.
const (
	hostBlock       = 10
	gatewayBlock    = 60
	controllerBlock = 110
	platformBlock   = 160
)

// Ports on the loopback addresses.
const (
	platformPort = 7400
	callerPort   = 7100
	peerPort     = 7200
	operatorPort = 7300
	adminPort    = 7500
)

// GatewaySettings returns the settings of the gateway with the given index.
func (r *Deployment) GatewaySettings(index int) *daemon.GatewaySettings {
	s := daemon.DefaultGatewaySettings()
	s.Process = r.process("gateway", index)
	s.Platform.URL = "http://" + r.PlatformAddress()
	s.Listen = daemon.GatewayListen{
		Callers: r.loopback(gatewayBlock, index, callerPort),
		Peers:   r.loopback(gatewayBlock, index, peerPort),
		Admin:   r.loopback(gatewayBlock, index, adminPort),
	}
	s.Auth = r.keyStore.settingsFor(s.Process.ID, s.Listen.Peers)
	s.Peers.Addresses = r.peerAddresses()
	s.Stop = daemon.StopSettings{DrainDelay: drainDelay, Grace: stopGrace}
	s.Log.Level = r.Options.LogLevel
	return s
}

func (r *Deployment) process(role string, index int) daemon.ProcessSettings {
	spec := r.FleetSpec()
	return daemon.ProcessSettings{
		ID:     fmt.Sprintf("%s-%d", role, index+1),
		Zone:   spec.Zones[index%len(spec.Zones)],
		Region: spec.Region,
	}
}

// ControllerSettings returns the settings of the controller with the given
// index.
func (r *Deployment) ControllerSettings(index int) *daemon.ControllerSettings {
	s := daemon.DefaultControllerSettings()
	s.Process = r.process("controller", index)
	s.Platform.URL = "http://" + r.PlatformAddress()
	s.Listen = daemon.ControllerListen{
		Operators: r.loopback(controllerBlock, index, operatorPort),
		Peers:     r.loopback(controllerBlock, index, peerPort),
		Admin:     r.loopback(controllerBlock, index, adminPort),
	}
	s.Auth = r.keyStore.settingsFor(s.Process.ID, s.Listen.Peers)
	s.Peers.Addresses = r.peerAddresses()
	s.Reconcile = daemon.ReconcileSettings{Interval: reconcileInterval, MemberTTL: memberTTL}
	s.Report = daemon.ReportSettings{Sample: time.Second, Write: 2 * time.Second}
	s.Jobs = daemon.JobsSettings{LeaseTTL: leaseTTL, ReportInterval: reportInterval}
	s.Stop = daemon.StopSettings{DrainDelay: drainDelay, Grace: stopGrace}
	s.Log.Level = r.Options.LogLevel
	return s
}

func (r *Deployment) peerAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for i := range r.Options.Controllers {
		addresses = append(addresses, r.loopback(controllerBlock, i, peerPort))
	}
	for i := range r.Options.Gateways {
		addresses = append(addresses, r.loopback(gatewayBlock, i, peerPort))
	}
	return addresses
}

// OperatorAddress returns the address of the first controller's operator API.
func (r *Deployment) OperatorAddress() string {
	return r.loopback(controllerBlock, 0, operatorPort).String()
}

// CallerAddress returns the address at which the first gateway serves callers.
func (r *Deployment) CallerAddress() string { return r.loopback(gatewayBlock, 0, callerPort).String() }

func (r *Deployment) loopback(block, index, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(block + r.Options.Instance), 0, byte(index + 1)}), uint16(port))
}

// PlatformAddress returns the platform's address, an IP address with a port.
func (r *Deployment) PlatformAddress() string {
	return r.loopback(platformBlock, 0, platformPort).String()
}
