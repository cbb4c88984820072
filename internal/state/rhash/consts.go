package rhash

const (
	// domainMapCapacity is the initial capacity of the map of failure domains.
	domainMapCapacity = 16

	// fmixMultiplier1 and fmixMultiplier2 are the multipliers of the 64-bit finaliser of MurmurHash3.
	fmixMultiplier1 = 0xff51afd7ed558ccd
	fmixMultiplier2 = 0xc4ceb9fe1a85ec53
	// goldenRatioMultiplier is 2^64 divided by the golden ratio, rounded to an odd number.
	goldenRatioMultiplier = 0x9e3779b97f4a7c15
)
