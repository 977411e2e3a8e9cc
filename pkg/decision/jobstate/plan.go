package jobstate

// Sizes of parts.
const (
	// MaxPartItems is the size of the parts of a large job.
	MaxPartItems = 1000
	// SpreadParts is the least number of parts that a small job is split into, so that several nodes with
	// idle upstreams share a lot of 20 items.
	SpreadParts = 8
)

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
	size := min(max((total+SpreadParts-1)/SpreadParts, 1), MaxPartItems)
	var parts []Range
	item := 0
	for c, lines := range chunkLines {
		for first := 0; first < lines; first += size {
			n := min(size, lines-first)
			parts = append(parts, Range{Chunk: c, First: first, Size: n, Item: item})
			item += n
		}
	}
	return parts
}
