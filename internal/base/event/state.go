package event

// Events 4000 to 4999: the replicated logs and their distribution.

var stateEvents = []Entry{}
