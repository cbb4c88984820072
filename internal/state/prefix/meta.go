package prefix

// meta is the metadata of an entry, packed into one word that can be read and swapped atomically. From the lowest bit:
// occupied, expected, used and advertised (1 bit each), the engine's slot (14), the generation of the slot (20) and
// the time stamp in units of stampUnit (24), which wraps around.
type meta uint64

const (
	slotBits       = 14
	generationBits = 20
	stampBits      = 24

	slotShift       = 4
	generationShift = slotShift + slotBits
	stampShift      = generationShift + generationBits

	slotMask       = 1<<slotBits - 1
	generationMask = 1<<generationBits - 1
	stampMask      = 1<<stampBits - 1
)

const (
	// occupied is set in every entry that is not free.
	occupied meta = 1 << iota
	// expected marks an entry that no event of the engine has confirmed.
	expected
	// used marks an entry that a lookup has matched since a digest last carried it.
	used
	// advertised marks an entry that a digest has carried to peers.
	advertised
)

func newMeta(slot uint16, generation, stamp uint32, flags meta) meta {
	m := occupied | flags
	m |= meta(slot&slotMask) << slotShift
	m |= meta(generation&generationMask) << generationShift
	return m | meta(stamp&stampMask)<<stampShift
}

func (m meta) has(flag meta) bool     { return m&flag != 0 }
func (m meta) slot() uint16           { return uint16(m >> slotShift & slotMask) }
func (m meta) generation() uint32     { return uint32(m >> generationShift & generationMask) }
func (m meta) stamp() uint32          { return uint32(m >> stampShift & stampMask) }
func (m meta) age(now uint32) uint32  { return (now - m.stamp()) & stampMask }
func (m meta) without(flag meta) meta { return m &^ flag }

func (m meta) withStamp(now uint32) meta {
	return m&^(stampMask<<stampShift) | meta(now&stampMask)<<stampShift
}

// fixedBits returns the bits that tie an entry to its engine. Concurrent lookups may change the others at any time.
func (m meta) fixedBits() meta {
	return m & (occupied | expected | slotMask<<slotShift | generationMask<<generationShift)
}
