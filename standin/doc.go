// Package standin holds stand-ins, for tests and the try command, for what
// surrounds entries and agents: a model engine with continuous batching and a
// prefix cache, a plain service, the configuration service, and, on the users'
// platform, clients, targets and the metadata store. Faults are switched on
// through their methods.
package standin
