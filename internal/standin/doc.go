// Package standin has simple in-memory implementations of the services around the
// controllers: the state service, and the cloud with its workers. Tests inject
// failures into them; cmd/standin serves them over HTTP for a trial on one machine.
// They follow the documented protocols and share no code with any real service.
package standin
