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

// ErrInvalid is matched by every error about the content of a settings file.
var ErrInvalid = errors.New("invalid settings")

// Security sets how connections between entries and agents are secured: with mutual TLS, for which the three files are
// given, or not at all if Plaintext is set, which is meant for loopback only.
type Security struct {
	Certificate string `toml:"certificate" comment:"PEM file of this process's certificate, issued to the name lovageshift"`
	Key         string `toml:"key" comment:"PEM file of its private key"`
	Authority   string `toml:"authority" comment:"PEM file of the authority that all processes trust"`
	Plaintext   bool   `toml:"plain" comment:"true connects without TLS, on loopback only"`
}

// Source is where a process reads the configuration: either a folder or the platform's configuration service. Exactly one
// of Folder and Service is set. Peers are agents from which the process also requests a configuration until one is in
// force; after that it takes its peers from the configuration.
type Source struct {
	Folder  string   `toml:"folder" comment:"configuration folder to watch; or"`
	Service string   `toml:"service" comment:"IP:port of the platform's configuration service"`
	Peers   []string `toml:"peers" comment:"IP:port of agents to ask before there is a configuration"`
}

// Entry holds the settings of an entry that reaches targets through agents.
type Entry struct {
	ID               lovageshift.EntryID `toml:"id" comment:"name of this entry, unique in the fleet"`
	Zone             lovageshift.ZoneID  `toml:"zone" comment:"availability zone of this VM"`
	Listen           string              `toml:"listen" comment:"IP:port for callers"`
	Operators        string              `toml:"operators" comment:"IP:port for metrics and status"`
	MaxConnections   int                 `toml:"connections" comment:"most connections of callers at once"`
	MemoryMegabytes  int                 `toml:"memoryMegabytes" comment:"memory of this VM, from which limits for callers follow; 0: half of the machine's, -1: no limit"`
	FileDescriptors  int                 `toml:"fileDescriptors" comment:"file descriptors of this VM, likewise; 0: those that this process may open, -1: no limit"`
	DrainDelayMillis lovageshift.Millis  `toml:"drainDelayMillis" comment:"how long a stopping entry still serves while the balancer notices"`
	Security         Security            `toml:"security"`
	Source           Source              `toml:"source"`
}

// Agent holds the settings of an agent, the process beside a target.
type Agent struct {
	Target            lovageshift.TargetID `toml:"target" comment:"name of the target beside this process"`
	Listen            string               `toml:"listen" comment:"IP:port for the system's own processes"`
	Operators         string               `toml:"operators" comment:"IP:port for metrics and status"`
	StopTimeoutMillis lovageshift.Millis   `toml:"stopTimeoutMillis" comment:"longest wait for running work at a graceful stop"`
	Security          Security             `toml:"security"`
	Source            Source               `toml:"source"`
}

// DefaultEntry returns the settings that an entry uses for keys missing from its file. Security and Source have no
// defaults.
func DefaultEntry() Entry {
	return Entry{
		ID: "entry-1", Zone: "a", Listen: "127.0.0.1:8080", Operators: "127.0.0.1:8081",
		MaxConnections: 10_000, DrainDelayMillis: 1_000,
	}
}

// DefaultAgent returns the settings that an agent uses for keys missing from its file. Security and Source have no
// defaults.
func DefaultAgent() Agent {
	return Agent{
		Target: "engine-1", Listen: "127.0.0.1:7001", Operators: "127.0.0.1:7101", StopTimeoutMillis: 130_000,
	}
}

// ReadEntry reads and validates an entry's TOML settings file. Unknown keys are errors; an error about the content
// matches ErrInvalid.
func ReadEntry(path string) (Entry, error) {
	settings := DefaultEntry()
	if err := decodeFile(path, &settings); err != nil {
		return settings, err
	}
	var v validator
	v.name("id", string(settings.ID))
	v.name("zone", string(settings.Zone))
	v.address("listen", settings.Listen)
	v.address("operators", settings.Operators)
	v.require("connections", settings.MaxConnections > 0, "must be above 0")
	v.require("memoryMegabytes", settings.MemoryMegabytes >= -1, "must be -1 or more")
	v.require("fileDescriptors", settings.FileDescriptors >= -1, "must be -1 or more")
	v.require("drainDelayMillis", settings.DrainDelayMillis >= 0, "must not be negative")
	v.security(&settings.Security)
	v.source(&settings.Source)
	return settings, v.err(path)
}

// ReadAgent reads and validates an agent's TOML settings file. Unknown keys are errors; an error about the content
// matches ErrInvalid.
func ReadAgent(path string) (Agent, error) {
	settings := DefaultAgent()
	if err := decodeFile(path, &settings); err != nil {
		return settings, err
	}
	var v validator
	v.name("target", string(settings.Target))
	v.address("listen", settings.Listen)
	v.address("operators", settings.Operators)
	v.require("stopTimeoutMillis", settings.StopTimeoutMillis > 0, "must be above 0")
	v.security(&settings.Security)
	v.source(&settings.Source)
	return settings, v.err(path)
}

// Sample returns the content of a TOML settings file with the values of settings, an Entry or an Agent, and with comments
// on the keys.
func Sample(settings any) (string, error) {
	content, err := toml.Marshal(settings)
	return string(content), trace.Wrap(err, "write sample settings")
}

// decodeFile decodes a TOML file into the settings. Fields whose keys are missing from the file keep
// their values.
func decodeFile(path string, settings any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return trace.Wrap(err, "read settings")
	}
	decoder := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields()
	err = decoder.Decode(settings)
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

// validator collects the problems found in a settings file.
type validator struct {
	problems []string
}

// require records a problem with the key unless the value is valid.
func (v *validator) require(key string, valid bool, message string) {
	if !valid {
		v.problems = append(v.problems, key+": "+message)
	}
}

func (v *validator) name(key, value string) { v.require(key, value != "", "must not be empty") }

func (v *validator) address(key, value string) {
	_, err := netip.ParseAddrPort(value)
	v.require(key, err == nil, "must be IP:port")
}

func (v *validator) security(security *Security) {
	hasAll := security.Certificate != "" && security.Key != "" && security.Authority != ""
	hasNone := security.Certificate == "" && security.Key == "" && security.Authority == ""
	v.require("security", hasAll != security.Plaintext && (hasAll || hasNone),
		"set certificate, key and authority, or plain = true on loopback")
}

func (v *validator) source(source *Source) {
	v.require("source", (source.Folder != "") != (source.Service != ""), "set either folder or service")
	if source.Service != "" {
		v.address("source.service", source.Service)
	}
	for _, peer := range source.Peers {
		v.address("source.peers", peer)
	}
}

// err returns one error with all problems of the file at the path, or nil.
func (v *validator) err(path string) error {
	if len(v.problems) == 0 {
		return nil
	}
	return trace.Wrap(ErrInvalid, "%s: %s", path, strings.Join(v.problems, "; "))
}
