package event

// Events 6000 to 6999: rates and shares.

var limitEvents = []Entry{}
