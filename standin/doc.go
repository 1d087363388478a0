// Package standin holds stand-ins, for tests and the try command, for what
// surrounds entries and agents.
//
// Engine (a model engine with continuous batching and a prefix cache) and Service
// (a plain service) are targets that are reached through agents; ConfigService
// publishes their configuration. On the platform that package platform describes,
// entries reach targets without agents: Replica is a target there, Store the
// metadata store, Catalog the operator's configuration, and Send a caller.
//
// Methods such as SetFault and SetDown switch faults on and off.
package standin
