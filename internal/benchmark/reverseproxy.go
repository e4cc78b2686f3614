package benchmark

import (
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"sync/atomic"
	"time"
)

// startReverseProxy starts the standard library's proxy, which sends to the servers in turn. It is tuned with enough
// idle connections for each server, no compression, and pooled copy buffers.
func startReverseProxy(servers []string) ([]string, error) {
	var next atomic.Uint64
	targets := make([]*url.URL, len(servers))
	for i, s := range servers {
		targets[i] = &url.URL{Scheme: "http", Host: s}
	}
	p := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			to := targets[next.Add(1)%uint64(len(targets))]
			r.Out.URL.Scheme, r.Out.URL.Host = to.Scheme, to.Host
		},
		Transport: &http.Transport{
			MaxIdleConns:        0,
			MaxIdleConnsPerHost: 1024,
			DisableCompression:  true,
			IdleConnTimeout:     time.Minute,
		},
		BufferPool: &bufferPool{pool: sync.Pool{New: func() any { return make([]byte, 4<<10) }}},
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go http.Serve(ln, p)
	return []string{ln.Addr().String()}, nil
}

// bufferPool implements httputil.BufferPool.
type bufferPool struct{ pool sync.Pool }

func (b *bufferPool) Get() []byte { return b.pool.Get().([]byte) }

func (b *bufferPool) Put(buffer []byte) {
	//lint:ignore SA6002 the baseline is measured as its users build it
	b.pool.Put(buffer[:cap(buffer)])
}
