// Package exitcode defines the exit codes of all programs.
package exitcode

// Exit codes; they are part of the programs' interface and never change.
const (
	OK          = 0
	Failure     = 1 // unexpected failure
	Usage       = 2 // arguments that cannot be understood
	Invalid     = 3 // settings, objects or answers that are not valid
	Refused     = 4 // refused by the system, and guaranteed not to have been done
	Conflict    = 5 // the configuration has changed in between; nothing was done
	Unknown     = 6 // the answer was lost, and the change may or may not have been made
	Unavailable = 7 // no instance could be reached in time; nothing was done
)
