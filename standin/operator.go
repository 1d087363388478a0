package standin

import (
	"encoding/json"
	"net"
	"os"
	"strconv"
)

// Catalog is the configuration that the operator of the users' platform publishes in the store.
type Catalog struct {
	Version  int              `json:"version"`
	Routes   []CatalogRoute   `json:"routes"`
	Services []CatalogService `json:"services"`
	Accounts []CatalogAccount `json:"tenants"`
	Limits   CatalogLimits    `json:"limits"`
}

// CatalogRoute is a route of a catalog. Kind is "safe", "unsafe" or "streaming".
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

// CatalogService is a service of a catalog with the limits on the connections to its targets and on cold starts.
type CatalogService struct {
	Name                  string  `json:"name"`
	ConnectionLimit       int     `json:"connection_limit"`
	ColdStartSeconds      float64 `json:"cold_start_s,omitempty"`
	ColdRequestsPerSecond float64 `json:"cold_per_s,omitempty"`
}

// CatalogAccount is a client account with its keys and its quota in tokens. DefaultCharge is what a request without
// token counts costs.
type CatalogAccount struct {
	Name          string   `json:"name"`
	Keys          []string `json:"api_keys"`
	Unit          string   `json:"unit"`
	DefaultCharge int      `json:"plain_tokens"`
	Rate          float64  `json:"rate_per_s,omitempty"`
	Burst         float64  `json:"burst,omitempty"`
}

// CatalogLimits bounds the size of a client's request, in bytes.
type CatalogLimits struct {
	BodyBytes   int `json:"max_body_bytes"`
	HeaderBytes int `json:"max_header_bytes"`
}

// VM describes the VM of an entry, as the users' platform does in the settings file of the process.
type VM struct {
	Name  string
	Zone  string
	Host  string
	Seeds []string
	Store string
	// FirstPort is the first of the ports that the processes on the VM use.
	FirstPort int
	Bounds    map[string]any
}

// Settings returns the content of the settings file, as JSON.
func (v VM) Settings() ([]byte, error) {
	seeds := []string{}
	for _, seed := range v.Seeds {
		seeds = append(seeds, hostPort(seed, v.FirstPort+controlOffset))
	}
	return json.Marshal(map[string]any{
		"node_name": v.Name, "zone": v.Zone, "ip_address": v.Host, "seeds": seeds, "bounds": v.Bounds, "bootstrap": true,
		"listen": map[string]any{
			"front": v.CallerAddress(), "ready": v.ReadinessAddress(),
			"control": hostPort(v.Host, v.FirstPort+controlOffset),
		},
		"internal_ports": []int{v.FirstPort + internalOffset, v.FirstPort + internalOffset + 15},
		"platform":       map[string]any{"address": v.Store},
	})
}

// WriteSettings writes the settings file to the path.
func (v VM) WriteSettings(path string) error {
	content, err := v.Settings()
	if err != nil {
		return err
	}
	return os.WriteFile(path, content, settingsMode)
}

// settingsMode allows only the owner to read a settings file.
const settingsMode = 0o600

// CallerAddress returns the IP:port address that serves clients.
func (v VM) CallerAddress() string { return hostPort(v.Host, v.FirstPort) }

// ReadinessAddress returns the IP:port address of the balancer's readiness checks.
func (v VM) ReadinessAddress() string { return hostPort(v.Host, v.FirstPort+readyOffset) }

// Offsets of a VM's ports from its first one.
const (
	readyOffset    = 1
	controlOffset  = 2
	internalOffset = 10
)

func hostPort(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }
