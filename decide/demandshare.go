package decide

import (
	"time"
)

const (
	// memory of asked units: long against gaps, short against shifts
	demandMemory = 2 * time.Second
	// seconds of the even slice mixed in: steadies rare askers
	demandPrior = 0.05
	// a peer not heard for this long no longer settles buckets
	peerStaleAfter = 1 * time.Second
)
