package event

// Events 5000 to 5999: membership and leases.

var memberEvents = []Entry{}
