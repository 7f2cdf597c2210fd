package event

// Events 7000 to 7999: links between instances.

var wireEvents = []Entry{}
