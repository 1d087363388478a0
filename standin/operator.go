package standin

import (
	"encoding/json"
	"net"
	"os"
	"strconv"
)

// Catalog is the configuration that the operator of the platform publishes in the store, under ConfigKey. Package
// platform decodes it.
type Catalog struct {
	Version  int              `json:"version"` // rises with each published catalog
	Routes   []CatalogRoute   `json:"routes"`
	Services []CatalogService `json:"services"`
	Accounts []CatalogAccount `json:"tenants"`
	Limits   CatalogLimits    `json:"limits"`
}

// CatalogRoute sends the requests for a host and a path prefix to a service. Kind is "safe" (requests may run more than
// once), "unsafe" (they must not) or "streaming" (a stream of events answers them). TimeoutMillis is how long the final
// answer may take, 0 for no bound; TargetLatencyMillis is the desired time to the answer or to the first event of a
// stream, 0 for the default. Attempts is the maximum number of targets that a request may run on. Resumable lets
// another target continue an interrupted stream.
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

// CatalogService is a service with the limits of each of its targets: ConnectionLimit is how many connections the
// target accepts from all entries together, ColdStartSeconds how long it stays cold after its start or its zone's
// return to service, and ColdRequestsPerSecond the request rate that it sustains while it is cold. A ConnectionLimit or
// ColdRequestsPerSecond of 0 sets no limit.
type CatalogService struct {
	Name                  string  `json:"name"`
	ConnectionLimit       int     `json:"connection_limit"`
	ColdStartSeconds      float64 `json:"cold_start_s,omitempty"`
	ColdRequestsPerSecond float64 `json:"cold_per_s,omitempty"`
}

// CatalogAccount is a client account with its keys and its quota. Rate is in tokens per second over all entries, 0 for
// no limit, and Burst in tokens. If Unit is "tokens", a request is charged the token counts that it declares, or
// DefaultCharge tokens if it declares none; with any other Unit, each request is charged as one token.
type CatalogAccount struct {
	Name          string   `json:"name"`
	Keys          []string `json:"api_keys"`
	Unit          string   `json:"unit"`
	DefaultCharge int      `json:"plain_tokens"`
	Rate          float64  `json:"rate_per_s,omitempty"`
	Burst         float64  `json:"burst,omitempty"`
}

// CatalogLimits holds the largest sizes, in bytes, of the body and of the headers of a caller's request; 0 stands for
// the default.
type CatalogLimits struct {
	BodyBytes   int `json:"max_body_bytes"`
	HeaderBytes int `json:"max_header_bytes"`
}

// VM describes the VM of an entry: what the platform writes into the settings file of the entry's process.
type VM struct {
	Name  string
	Zone  string
	Host  string   // IP address
	Seeds []string // IP addresses of a few entries to contact first
	Store string   // IP:port address of the metadata store
	// FirstPort is the lowest port that the VM's processes use; the entry serves callers on it.
	FirstPort int
	Bounds    map[string]any // the settings under "bounds", by their names in the file
	// MemoryMegabytes and FileDescriptors are the VM's limits, 0 to leave them to the machine, -1 for no limit.
	MemoryMegabytes int
	FileDescriptors int
	// Restarted is set once the whole installation has started for the first time.
	Restarted bool
}

// Settings returns the content of the settings file, as JSON.
func (v VM) Settings() ([]byte, error) {
	seeds := []string{}
	for _, seed := range v.Seeds {
		seeds = append(seeds, hostPort(seed, v.FirstPort+controlOffset))
	}
	return json.Marshal(map[string]any{
		"node_name": v.Name, "zone": v.Zone, "ip_address": v.Host, "seeds": seeds, "bounds": v.Bounds, "bootstrap": !v.Restarted,
		"listen": map[string]any{
			"front": v.CallerAddress(), "ready": v.ReadinessAddress(),
			"control": hostPort(v.Host, v.FirstPort+controlOffset),
		},
		"internal_ports": []int{v.FirstPort + internalOffset, v.FirstPort + internalOffset + 15},
		"platform":       map[string]any{"address": v.Store},
		"limits":         map[string]any{"memory_mb": v.MemoryMegabytes, "file_descriptors": v.FileDescriptors},
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

// settingsMode lets only the owner read and write a settings file.
const settingsMode = 0o600

// CallerAddress returns the IP:port address at which the entry serves callers.
func (v VM) CallerAddress() string { return hostPort(v.Host, v.FirstPort) }

// ReadinessAddress returns the IP:port address at which the entry answers the load balancer's readiness checks.
func (v VM) ReadinessAddress() string { return hostPort(v.Host, v.FirstPort+readyOffset) }

// Offsets of a VM's ports from FirstPort.
const (
	readyOffset    = 1
	controlOffset  = 2
	internalOffset = 10
)

func hostPort(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }
