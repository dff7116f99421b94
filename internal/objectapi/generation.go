package objectapi

// GenerationBits is the number of low bits of a generation that count within one era of the
// store. An era begins above all generations that were given out before, because the store
// may have lost them.
const GenerationBits = 32

// NextGeneration returns the fencing token of the next holder of a duty. seen is the highest
// generation known, and version that of the object which records it.
func NextGeneration(seen uint64, version Version) uint64 {
	return max(seen, version.Era()<<GenerationBits) + 1
}

// GenerationEra returns the era of the store in which a generation was given out.
func GenerationEra(generation uint64) uint64 { return generation >> GenerationBits }
