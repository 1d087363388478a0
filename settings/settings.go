package settings

import (
	"bytes"
	"errors"
	"net/netip"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"

	"lovageshift"
)

// ErrInvalid is matched by every error of a settings file.
var ErrInvalid = errors.New("invalid settings")

// Security is how processes know each other.
type Security struct {
	Certificate string `toml:"certificate" comment:"PEM file of this process's certificate, issued to the name lovageshift"`
	Key         string `toml:"key" comment:"PEM file of its private key"`
	Authority   string `toml:"authority" comment:"PEM file of the authority that all processes trust"`
	Plaintext   bool   `toml:"plain" comment:"true connects without TLS, on loopback only"`
}

// Source is where the configuration is published.
type Source struct {
	Folder  string   `toml:"folder" comment:"configuration folder to watch; or"`
	Service string   `toml:"service" comment:"IP:port of the platform's configuration service"`
	Peers   []string `toml:"peers" comment:"IP:port of agents to ask before there is a configuration"`
}

// Entry is the settings of an entry.
type Entry struct {
	ID               lovageshift.EntryID `toml:"id" comment:"name of this entry, unique in the fleet"`
	Zone             lovageshift.ZoneID  `toml:"zone" comment:"availability zone of this VM"`
	Listen           string              `toml:"listen" comment:"IP:port for callers"`
	Operators        string              `toml:"operators" comment:"IP:port for metrics and status"`
	MaxConnections   int                 `toml:"connections" comment:"most connections of callers at once"`
	DrainDelayMillis lovageshift.Millis  `toml:"drainDelayMillis" comment:"how long a stopping entry still serves while the balancer notices"`
	Security         Security            `toml:"security"`
	Source           Source              `toml:"source"`
}

// Agent is the settings of an agent.
type Agent struct {
	Target            lovageshift.TargetID `toml:"target" comment:"name of the target beside this process"`
	Listen            string               `toml:"listen" comment:"IP:port for the system's own processes"`
	Operators         string               `toml:"operators" comment:"IP:port for metrics and status"`
	StopTimeoutMillis lovageshift.Millis   `toml:"stopTimeoutMillis" comment:"longest wait for running work at a graceful stop"`
	Security          Security             `toml:"security"`
	Source            Source               `toml:"source"`
}

// DefaultEntry returns an entry's settings where the file names none.
func DefaultEntry() Entry {
	return Entry{
		ID: "entry-1", Zone: "a", Listen: "127.0.0.1:8080", Operators: "127.0.0.1:8081",
		MaxConnections: 10_000, DrainDelayMillis: 1_000,
	}
}

// DefaultAgent returns an agent's settings where the file names none.
func DefaultAgent() Agent {
	return Agent{
		Target: "engine-1", Listen: "127.0.0.1:7001", Operators: "127.0.0.1:7101", StopTimeoutMillis: 130_000,
	}
}

// ReadEntry reads and checks an entry's settings.
func ReadEntry(path string) (Entry, error) {
	settings := DefaultEntry()
	if err := read(path, &settings); err != nil {
		return settings, err
	}
	var c checks
	c.name("id", string(settings.ID))
	c.name("zone", string(settings.Zone))
	c.address("listen", settings.Listen)
	c.address("operators", settings.Operators)
	c.require("connections", settings.MaxConnections > 0, "must be above 0")
	c.require("drainDelayMillis", settings.DrainDelayMillis >= 0, "must not be negative")
	c.security(&settings.Security)
	c.source(&settings.Source)
	return settings, c.err(path)
}

// ReadAgent reads and checks an agent's settings.
func ReadAgent(path string) (Agent, error) {
	settings := DefaultAgent()
	if err := read(path, &settings); err != nil {
		return settings, err
	}
	var c checks
	c.name("target", string(settings.Target))
	c.address("listen", settings.Listen)
	c.address("operators", settings.Operators)
	c.require("stopTimeoutMillis", settings.StopTimeoutMillis > 0, "must be above 0")
	c.security(&settings.Security)
	c.source(&settings.Source)
	return settings, c.err(path)
}

// Sample returns settings as a commented TOML file.
func Sample(settings any) (string, error) {
	content, err := toml.Marshal(settings)
	return string(content), trace.Wrap(err, "write sample settings")
}

func read(path string, into any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return trace.Wrap(err, "read settings")
	}
	decoder := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields()
	err = decoder.Decode(into)
	var unknown *toml.StrictMissingError
	var syntax *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown):
		return trace.Wrap(ErrInvalid, "%s: unknown keys:\n%s", path, unknown.String())
	case errors.As(err, &syntax):
		return trace.Wrap(ErrInvalid, "%s:\n%s", path, syntax.String())
	default:
		return trace.Wrap(ErrInvalid, "%s: %v", path, err)
	}
}

// checks collects what is wrong with settings.
type checks struct {
	faults []string
}

func (c *checks) require(key string, holds bool, message string) {
	if !holds {
		c.faults = append(c.faults, key+": "+message)
	}
}

func (c *checks) name(key, value string) { c.require(key, value != "", "must not be empty") }

func (c *checks) address(key, value string) {
	_, err := netip.ParseAddrPort(value)
	c.require(key, err == nil, "must be IP:port")
}

func (c *checks) security(security *Security) {
	files := security.Certificate != "" && security.Key != "" && security.Authority != ""
	none := security.Certificate == "" && security.Key == "" && security.Authority == ""
	c.require("security", files != security.Plaintext && (files || none),
		"set certificate, key and authority, or plain = true on loopback")
}

func (c *checks) source(source *Source) {
	c.require("source", (source.Folder != "") != (source.Service != ""), "set either folder or service")
	if source.Service != "" {
		c.address("source.service", source.Service)
	}
	for _, peer := range source.Peers {
		c.address("source.peers", peer)
	}
}

func (c *checks) err(path string) error {
	if len(c.faults) == 0 {
		return nil
	}
	return trace.Wrap(ErrInvalid, "%s: %s", path, strings.Join(c.faults, "; "))
}
