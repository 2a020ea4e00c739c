package gatewaycost

import (
	"net"
	"runtime"
)

const (
	sizeCalls  = 200
	warmUps    = 20
	bytesPerKB = 1024
)

// bodySizes are those that the growth of allocation is measured at.
var bodySizes = []int{1 << 10, 64 << 10, 1 << 20, 8 << 20}

// sizes measures what the gateway allocates beyond the direct path, by size.
func sizes(b *bench) ([]SizeCost, error) {
	var costs []SizeCost
	for _, size := range bodySizes {
		answer, err := addedBySize(b, answerPath(size), 0)
		if err != nil {
			return nil, err
		}
		upload, err := addedBySize(b, answerPath(0), size)
		if err != nil {
			return nil, err
		}
		costs = append(costs, SizeCost{
			Bytes:              size,
			AnswerAddedAllocKB: answer.AllocBytes / bytesPerKB, AnswerAddedAllocated: answer.Allocations,
			UploadAddedAllocKB: upload.AllocBytes / bytesPerKB, UploadAddedAllocated: upload.Allocations,
		})
	}
	return costs, nil
}

func addedBySize(b *bench, path string, upload int) (Path, error) {
	direct, err := allocations(b.endpoints, path, upload)
	if err != nil {
		return Path{}, err
	}
	through, err := allocations([]string{b.gateway}, path, upload)
	if err != nil {
		return Path{}, err
	}
	return Path{Allocations: through.Allocations - direct.Allocations, AllocBytes: through.AllocBytes - direct.AllocBytes}, nil
}

func allocations(addresses []string, path string, upload int) (Path, error) {
	l := newLoad(1, addresses, path, upload)
	defer l.close()
	if err := l.times(warmUps); err != nil {
		return Path{}, err
	}
	l.reset()
	err := l.times(sizeCalls)
	return l.path(), err
}

// memoryPerConnection opens idle connections to the gateway, each after one
// request, and returns the heap and stack in use for each. The callers' ends
// are bare connections without buffers.
func memoryPerConnection(b *bench, n int) (float64, error) {
	before := inUse()
	conns := make([]net.Conn, 0, n)
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	request := []byte("HEAD " + answerPath(0) + " HTTP/1.1\r\nHost: gateway\r\n\r\n")
	var answer [4 << 10]byte
	for range n {
		conn, err := net.Dial("tcp", b.gateway)
		if err != nil {
			return 0, err
		}
		conns = append(conns, conn)
		if _, err := conn.Write(request); err != nil {
			return 0, err
		}
		if _, err := conn.Read(answer[:]); err != nil {
			return 0, err
		}
	}
	return float64(inUse()-before) / float64(n), nil
}

func inUse() int64 {
	// Twice: pooled buffers survive the first collection.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
