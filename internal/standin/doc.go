// Package standin has simple stand-ins for what surrounds the controllers: the
// state service, the cloud and its workers, in memory. Tests inject failures
// into them; cmd/standin serves them over HTTP for a first try. They follow the
// documented protocols and share no code with any real service.
package standin
