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

// bodySizes are the body sizes in bytes at which allocations are measured.
var bodySizes = []int{1 << 10, 64 << 10, 1 << 20, 8 << 20}

// measureSizes measures the allocations of the gateway minus those of the direct
// path, by body size.
func measureSizes(b *bench) ([]SizeCost, error) {
	var costs []SizeCost
	for _, size := range bodySizes {
		response, err := addedAllocations(b, workPath(size), 0)
		if err != nil {
			return nil, err
		}
		upload, err := addedAllocations(b, workPath(0), size)
		if err != nil {
			return nil, err
		}
		costs = append(costs, SizeCost{
			Bytes:              size,
			AnswerAddedAllocKB: response.AllocBytes / bytesPerKB, AnswerAddedAllocated: response.Allocations,
			UploadAddedAllocKB: upload.AllocBytes / bytesPerKB, UploadAddedAllocated: upload.Allocations,
		})
	}
	return costs, nil
}

func addedAllocations(b *bench, path string, upload int) (Path, error) {
	direct, err := allocations(b.endpoints, path, upload)
	if err != nil {
		return Path{}, err
	}
	viaGateway, err := allocations([]string{b.gateway}, path, upload)
	if err != nil {
		return Path{}, err
	}
	return Path{Allocations: viaGateway.Allocations - direct.Allocations, AllocBytes: viaGateway.AllocBytes - direct.AllocBytes}, nil
}

func allocations(addresses []string, path string, upload int) (Path, error) {
	l := newLoad(1, addresses, path, upload)
	defer l.close()
	if err := l.runCount(warmUps); err != nil {
		return Path{}, err
	}
	l.reset()
	err := l.runCount(sizeCalls)
	return l.result(), err
}

// memoryPerConnection opens n connections to the gateway, sends one request on each,
// and returns the heap and stack in bytes in use per idle connection. The callers'
// ends are bare connections without buffers.
func memoryPerConnection(b *bench, n int) (float64, error) {
	before := memoryInUse()
	conns := make([]net.Conn, 0, n)
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	request := []byte("HEAD " + workPath(0) + " HTTP/1.1\r\nHost: gateway\r\n\r\n")
	var response [4 << 10]byte
	for range n {
		conn, err := net.Dial("tcp", b.gateway)
		if err != nil {
			return 0, err
		}
		conns = append(conns, conn)
		if _, err := conn.Write(request); err != nil {
			return 0, err
		}
		if _, err := conn.Read(response[:]); err != nil {
			return 0, err
		}
	}
	return float64(memoryInUse()-before) / float64(n), nil
}

func memoryInUse() int64 {
	// Two collections, as buffers in a sync.Pool survive the first one.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
