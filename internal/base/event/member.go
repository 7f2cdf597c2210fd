package event

import "log/slog"

// Events 5000 to 5999: membership and leases.
const (
	CoordinatorStarted  ID = 5001
	CoordinatorStopped  ID = 5002
	InstanceLost        ID = 5003
	EndpointLost        ID = 5004
	EndpointAssigned    ID = 5005
	LeaseAcquired       ID = 5006
	LeaseDraining       ID = 5007
	LeaseLost           ID = 5008
	RenewalFailed       ID = 5009
	IncarnationOutdated ID = 5010
	AnnouncementRefused ID = 5011
	EndpointAnnounced   ID = 5012
	EndpointOrdered     ID = 5013
	ControlLeading      ID = 5014
	ControlFollowing    ID = 5015
	ControlSilent       ID = 5016
	AdapterPlaced       ID = 5017
	EndpointsInherited  ID = 5018
	DeputiesAppointed   ID = 5019
	PartsQuarantined    ID = 5020
	PartTried           ID = 5021
	EndpointDeparted    ID = 5022
	SoftwareChanged     ID = 5023
	TurnPermitted       ID = 5024
)

var memberEvents = []Entry{
	{CoordinatorStarted, slog.LevelInfo, "instance is coordinator of its data centre", "None."},
	{CoordinatorStopped, slog.LevelInfo, "instance is no longer coordinator", "Several in a minute: check the network between the keepers."},
	{InstanceLost, slog.LevelWarn, "instance stopped renewing", "None if it was stopped; otherwise check its host."},
	{EndpointLost, slog.LevelWarn, "endpoint stopped announcing itself", "None if it was stopped; otherwise check its host."},
	{EndpointAssigned, slog.LevelInfo, "endpoint assigned to an owner", "None."},
	{LeaseAcquired, slog.LevelInfo, "endpoint lease acquired", "None."},
	{LeaseDraining, slog.LevelInfo, "endpoint is drained for another owner", "None."},
	{LeaseLost, slog.LevelWarn, "endpoint lease lost", "Repeated: check the links to the coordinator (event 5009)."},
	{RenewalFailed, slog.LevelWarn, "renewal with the coordinator failed", "Repeated: check that a majority of the keepers is up and reachable."},
	{IncarnationOutdated, slog.LevelWarn, "a higher incarnation of this instance is known", "Once: the wall clock was set back. Repeated: two processes use the same name."},
	{AnnouncementRefused, slog.LevelWarn, "announcement of an endpoint refused", "Read the error; two endpoints with one name is the usual cause."},
	{EndpointAnnounced, slog.LevelInfo, "endpoint announced a change", "None."},
	{EndpointOrdered, slog.LevelInfo, "order to an endpoint ended", "Repeated failures: check the endpoint."},
	{ControlLeading, slog.LevelInfo, "control instance leads", "None."},
	{ControlFollowing, slog.LevelInfo, "control instance no longer leads", "Several in a minute: check the links between control instances."},
	{ControlSilent, slog.LevelWarn, "control instance does not answer", "None if it was stopped; otherwise check its host."},
	{AdapterPlaced, slog.LevelInfo, "place for an adapter chosen", "None."},
	{EndpointsInherited, slog.LevelInfo, "new leader took over endpoints that an entry knows", "None; endpoints announce themselves again."},
	{PartsQuarantined, slog.LevelWarn, "signatures of requests that crash endpoints were quarantined or released", "Added: find the callers that send them (Request, Parts, Adapter and Customer in event 2001), and have the endpoints fixed."},
	{PartTried, slog.LevelInfo, "one request may try a quarantined signature", "None."},
	{TurnPermitted, slog.LevelInfo, "one copy of a request that may crash endpoints may be sent", "None."},
	{EndpointDeparted, slog.LevelInfo, "departures of endpoints stored", "Error: the endpoints have no acknowledgement; check that a majority of the control instances is up."},
	{SoftwareChanged, slog.LevelInfo, "software versions of services stored", "Error: endpoints with a new version get no work; check that a majority of the control instances is up."},
	{DeputiesAppointed, slog.LevelInfo, "entries that lend without a leader stored", "Frequent: check why entries come and go."},
}
