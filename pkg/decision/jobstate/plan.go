package jobstate

const (
	// MaxPartItems is the largest number of items of a part.
	MaxPartItems = 1000
	// smallJobParts is the number of parts of a small job, so that several nodes with idle upstreams share even a job of
	// 20 items. A job of more than smallJobParts times smallPartSize items has parts of smallPartSize items, which cost few
	// writes per item, up to mediumJobParts parts, which are enough to spread a medium job over a fleet. Larger jobs have
	// larger parts, up to MaxPartItems.
	smallJobParts  = 8
	smallPartSize  = 200
	mediumJobParts = 64
)

// partSize returns the largest number of items of a part, for a job with the given number of items.
func partSize(items int) int {
	spread := func(parts int) int { return (items + parts - 1) / parts }
	return min(max(spread(mediumJobParts), min(spread(smallJobParts), smallPartSize), 1), MaxPartItems)
}

// Range is the range of lines of a part in its input file.
type Range struct {
	// Chunk is the index of the file chunk, First the index of the first line within it and Size the number of lines.
	Chunk, First, Size int
	// Item is the index of the part's first item in the whole file.
	Item int
}

// Plan divides a file whose chunks have the given numbers of lines into parts. A part never spans two chunks, so that a
// node reads only one chunk for it. The result depends only on the arguments, so that every node computes the same parts.
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
