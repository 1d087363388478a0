package standin

import (
	"encoding/json"
	"net"
	"os"
	"strconv"
)

// Catalog is what the operator of the users' platform publishes.
type Catalog struct {
	Version  int              `json:"version"`
	Routes   []CatalogRoute   `json:"routes"`
	Services []CatalogService `json:"services"`
	Accounts []CatalogAccount `json:"tenants"`
	Limits   CatalogLimits    `json:"limits"`
}

// CatalogRoute is a route of a catalog; Kind is "safe", "unsafe" or "streaming".
type CatalogRoute struct {
	Name                string `json:"name"`
	Host                string `json:"host"`
	Prefix              string `json:"prefix"`
	Kind                string `json:"kind"`
	TimeoutMillis       int    `json:"timeout_ms"`
	TargetLatencyMillis int    `json:"target_latency_ms"`
	Service             string `json:"service"`
	Attempts            int    `json:"attempts"`
	Resumable           bool   `json:"resume_streams,omitempty"`
}

// CatalogService is a service of a catalog.
type CatalogService struct {
	Name             string  `json:"name"`
	ConnectionLimit  int     `json:"connection_limit"`
	ColdStartSeconds float64 `json:"cold_start_s,omitempty"`
	ColdPerSecond    float64 `json:"cold_per_s,omitempty"`
}

// CatalogAccount is a client account with its keys and its quota in tokens.
type CatalogAccount struct {
	Name          string   `json:"name"`
	Keys          []string `json:"api_keys"`
	Unit          string   `json:"unit"`
	DefaultCharge int      `json:"plain_tokens"`
	Rate          float64  `json:"rate_per_s,omitempty"`
	Burst         float64  `json:"burst,omitempty"`
}

// CatalogLimits bounds what a client may send.
type CatalogLimits struct {
	BodyBytes   int `json:"max_body_bytes"`
	HeaderBytes int `json:"max_header_bytes"`
}

// VM is what the users' platform tells a process of its machine.
type VM struct {
	Name  string
	Zone  string
	Host  string
	Seeds []string
	Store string
	// FirstPort is the first of the ports that the machine's processes use.
	FirstPort int
	Bounds    map[string]any
}

// Settings returns the content of the machine's settings file.
func (m VM) Settings() ([]byte, error) {
	seeds := []string{}
	for _, seed := range m.Seeds {
		seeds = append(seeds, hostPort(seed, m.FirstPort+controlOffset))
	}
	return json.Marshal(map[string]any{
		"node_name": m.Name, "zone": m.Zone, "ip_address": m.Host, "seeds": seeds, "bounds": m.Bounds, "bootstrap": true,
		"listen":         map[string]any{"front": m.CallerAddress(), "ready": m.ReadinessAddress(), "control": hostPort(m.Host, m.FirstPort+controlOffset)},
		"internal_ports": []int{m.FirstPort + internalOffset, m.FirstPort + internalOffset + 15},
		"platform":       map[string]any{"address": m.Store},
	})
}

// WriteSettings writes the machine's settings file.
func (m VM) WriteSettings(path string) error {
	content, err := m.Settings()
	if err != nil {
		return err
	}
	return os.WriteFile(path, content, settingsMode)
}

// Only the process itself reads its settings file.
const settingsMode = 0o600

// CallerAddress returns the IP:port for clients.
func (m VM) CallerAddress() string { return hostPort(m.Host, m.FirstPort) }

// ReadinessAddress returns the IP:port that the balancer asks.
func (m VM) ReadinessAddress() string { return hostPort(m.Host, m.FirstPort+readyOffset) }

// Ports of a machine, counted from its first one.
const (
	readyOffset    = 1
	controlOffset  = 2
	internalOffset = 10
)

func hostPort(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }
