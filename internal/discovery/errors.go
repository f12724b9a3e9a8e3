package discovery

import "errors"

// Why a connection to discovery is of no more use.
var (
	errTimeout         = errors.New("silent over its time")
	errOnDemandTimeout = errors.New("no answer in time for those who asked")
	errNoList          = errors.New("an answer with no list")
	errMultipleLists   = errors.New("an answer with more than one list")
	errClosedAfterList = errors.New("closed after the whole list")
	errStaleIndex      = errors.New("an index below the one that is held")
	errNotObject       = errors.New("discovery: something else than an object")
)
