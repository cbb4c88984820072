package rhash

const (
	// maxDomainsHint sizes the table of failure domains.
	maxDomainsHint = 16

	// Multipliers of the finaliser of MurmurHash3.
	mixFirst  = 0xff51afd7ed558ccd
	mixSecond = 0xc4ceb9fe1a85ec53
	// mixOdd is 2^64 divided by the golden ratio, made odd.
	mixOdd = 0x9e3779b97f4a7c15
)
