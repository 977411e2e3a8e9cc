package jobstate

// Sizes of parts.
const (
	// MaxPartItems is the size of the parts of a large job.
	MaxPartItems = 1000
	// smallParts is the number of parts of a small job, so that several nodes with idle upstreams share a lot of
	// 20 items. From smallParts times smallSize items on, parts keep to smallSize, which costs few writes an item,
	// until there are manyParts of them, enough to spread a medium job over a fleet.
	smallParts = 8
	smallSize  = 200
	manyParts  = 64
)

// partSize returns the most items of a part of a job.
func partSize(items int) int {
	spread := func(parts int) int { return (items + parts - 1) / parts }
	return min(max(spread(manyParts), min(spread(smallParts), smallSize), 1), MaxPartItems)
}

// Range is the place of a part in its input file.
type Range struct {
	// Chunk is the index of the file chunk, First and Size the lines within it.
	Chunk, First, Size int
	// Item is the index of the first item in the whole file.
	Item int
}

// Plan splits a file whose chunks have the given numbers of lines into parts. A part never spans two chunks,
// so that a node reads one chunk for it. The result depends only on the arguments.
func Plan(chunkLines []int) []Range {
	total := 0
	for _, n := range chunkLines {
		total += n
	}
	size := partSize(total)
	var parts []Range
	item := 0
	for c, lines := range chunkLines {
		// The parts of a chunk are of about equal size.
		n := (lines + size - 1) / size
		for i := range n {
			first, end := lines*i/n, lines*(i+1)/n
			parts = append(parts, Range{Chunk: c, First: first, Size: end - first, Item: item + first})
		}
		item += lines
	}
	return parts
}
