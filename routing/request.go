package routing

// Header is the header of a request.
type Header interface {
	// Values returns the value of the first line of a field and the number of its lines. Names are case-insensitive.
	Values(name string) (first string, lines int)
	// Resembles reports whether the header has a field whose name a server could mistake for the given name, such as
	// X_Units for X-Units.
	Resembles(name string) bool
}

// Request is the part of a request on which its units and idempotency key can depend.
type Request struct {
	Query  string // not decoded, without '?'
	Header Header
	Body   []byte
}
