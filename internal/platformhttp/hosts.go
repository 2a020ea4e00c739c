package platformhttp

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"auburnglade.example/glade/internal/fleet"
)

// listedHosts is the last listing and the tag the platform gave it.
type listedHosts struct {
	tag   string
	hosts []fleet.Host
}

// Hosts implements fleet.HostList. It asks on condition that the list has
// changed and returns the very slice it returned before when it hasn't. At
// 1,000 hosts the list is 152 KB: read whole by every process each second it
// would alone be five times what a node may spend on control.
func (c *Client) Hosts(ctx context.Context) ([]fleet.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	before := c.lastListed()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+pathHosts, nil)
	if err != nil {
		return nil, &fleet.UnreachableError{Op: pathHosts, Cause: err}
	}
	if before.tag != "" {
		request.Header.Set("If-None-Match", before.tag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &fleet.UnreachableError{Op: pathHosts, Cause: err}
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return before.hosts, nil
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, &fleet.UnreachableError{Op: pathHosts, Cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return nil, decodeFailure(pathHosts, data)
	}
	return c.keepListed(response.Header.Get("ETag"), data)
}

func (c *Client) lastListed() listedHosts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listed
}

func (c *Client) keepListed(tag string, data []byte) ([]fleet.Host, error) {
	var hosts []fleet.Host
	if err := json.Unmarshal(data, &hosts); err != nil {
		return nil, &fleet.UnreachableError{Op: pathHosts, Cause: err}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = listedHosts{tag: tag, hosts: hosts}
	return hosts, nil
}

// serveHostList answers a listing, "not modified" when the asker has it, and
// packed for askers that take it so.
func serveHostList(list fleet.HostList) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		hosts, err := list.Hosts(r.Context())
		if err != nil {
			writeJSON(w, http.StatusConflict, encodeError(err))
			return
		}
		data, err := json.Marshal(hosts)
		if err != nil {
			writeJSON(w, http.StatusConflict, encodeError(err))
			return
		}
		tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(data), 16))
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		writePacked(w, r, data)
	}
}

// writePacked writes data with gzip when the asker accepts it. A failed write
// means that the asker has gone.
func writePacked(w http.ResponseWriter, r *http.Request, data []byte) {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(data)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	packer := gzip.NewWriter(w)
	_, _ = packer.Write(data)
	_ = packer.Close()
}
