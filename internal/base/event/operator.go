package event

// Events 8000 to 8999: operators' requests.

var operatorEvents = []Entry{}
