package discovery

import "errors"

// Reasons for which a connection to discovery is closed.
var (
	errTimeout         = errors.New("timeout: discovery sent no complete response, object or heartbeat before the deadline")
	errRequestsFailed  = errors.New("requests for the list kept failing for longer than the watch silence limit")
	errNoList          = errors.New("the response holds no list")
	errMultipleLists   = errors.New("the response holds more than one list")
	errClosedAfterList = errors.New("the connection is closed after the full list")
	errMissedChange    = errors.New("the watch has not reported a change that discovery has")
	errStaleIndex      = errors.New("the index is below the index of the current list")
	errNotObject       = errors.New("discovery: the body holds data outside a JSON object")
)
