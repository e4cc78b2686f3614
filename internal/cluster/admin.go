package cluster

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/logging"
	"mulleinmux/internal/raftnode"
)

// The admin API serves operators and members over HTTP/1.1 and TLS, in JSON. The certificate identifies the caller.
//
//	GET  /v1/status   returns the status of this member                      Status
//	GET  /v1/config   returns the agreed objects, or with ?local=1           Objects
//	                  the objects of the version applied at this member
//	GET  /v1/stream   returns the status of the followers                    FollowerList
//	GET  /v1/history  returns the retained versions                          []clusterconfig.HistoryRecord
//	POST /v1/check    checks a clusterconfig.Proposal without applying it    clusterconfig.Outcome
//	POST /v1/propose  proposes a clusterconfig.Proposal                      clusterconfig.Outcome
//	POST /v1/members  applies a MembershipChange                             Status
//	GET  /metrics     returns metrics in the Prometheus text format
//
// An error response has a body {"error": text} and status 400 for invalid input, 403 for a caller that is not an
// operator or a member of this cluster, or 503 if there is no leader or no quorum within the timeout that the header
// X-Timeout-Ms sets. A rejected proposal has status 409 and its clusterconfig.Outcome as the body.
const (
	pathStatus  = "/v1/status"
	pathConfig  = "/v1/config"
	pathStream  = "/v1/stream"
	pathHistory = "/v1/history"
	pathCheck   = "/v1/check"
	pathPropose = "/v1/propose"
	pathMembers = "/v1/members"
	pathMetrics = "/metrics"

	queryLocal      = "local"
	headerTimeout   = "X-Timeout-Ms"
	headerForwarded = "X-Passed" // set on a request that a member has forwarded to the leader
)

const (
	defaultAdminTimeout        = 10 * time.Second
	maxAdminTimeout            = 2 * time.Minute
	adminHeaderTimeout         = 5 * time.Second
	adminReadTimeout           = time.Minute
	adminIdleTimeout           = time.Minute
	adminWriteSlack            = 10 * time.Second // added to maxAdminTimeout
	leaderLookupTimeout        = time.Second
	maxAdminHeaderBytes        = 16 << 10
	maxConcurrentAdminRequests = 16
	maxAdminBodyBytes          = 2 * clusterconfig.MaxProposalBytes // whitespace can make a body longer than the log entry
)

// errorResponse is the JSON body of an error.
type errorResponse struct {
	Error string `json:"error"`
}

// statusError is an error with the HTTP status and the JSON body of its response.
type statusError struct {
	status int
	body   any // errorResponse or clusterconfig.Outcome
}

func (e *statusError) Error() string { return fmt.Sprint(e.body) }

func newBadRequest(format string, args ...any) error {
	return &statusError{http.StatusBadRequest, errorResponse{fmt.Sprintf(format, args...)}}
}

// adminServer serves the admin API of a member. It admits only callers with an operator's or a member's certificate,
// and at most maxConcurrentAdminRequests calls at a time. It serves from the start of the member's Raft node, before
// the gateway instance has started: until then a status lacks the fields of the instance, and /metrics the metrics of
// its requests.
type adminServer struct {
	member   *Member
	inFlight chan struct{} // holds a token for each call in progress
}

func newAdminServer(m *Member) *adminServer {
	return &adminServer{member: m, inFlight: make(chan struct{}, maxConcurrentAdminRequests)}
}

// serve serves the admin API until the caller closes the returned server.
func (a *adminServer) serve(ln net.Listener, tasks *sync.WaitGroup) *http.Server {
	server := &http.Server{
		ErrorLog:          logging.HTTPErrors(a.member.logger),
		ReadHeaderTimeout: adminHeaderTimeout,
		ReadTimeout:       adminReadTimeout,
		WriteTimeout:      maxAdminTimeout + adminWriteSlack,
		IdleTimeout:       adminIdleTimeout,
		MaxHeaderBytes:    maxAdminHeaderBytes,
		TLSConfig:         a.member.cfg.Credentials.TLSConfig(),
		Handler:           a.admitCallers(a.routes()),
	}
	tasks.Go(func() { server.Serve(tls.NewListener(ln, server.TLSConfig)) })
	return server
}

func (a *adminServer) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathStatus, newHandler(a, func(ctx context.Context, _ *http.Request) (*Status, error) {
		return a.status(ctx)
	}))
	mux.HandleFunc("GET "+pathConfig, newHandler(a, a.objects))
	mux.HandleFunc("GET "+pathHistory, newHandler(a, a.history))
	mux.HandleFunc("GET "+pathStream, newHandler(a, a.followerList))
	mux.HandleFunc("POST "+pathCheck, newBodyHandler(a, a.checkProposal))
	mux.HandleFunc("POST "+pathPropose, newBodyHandler(a, a.propose))
	mux.HandleFunc("POST "+pathMembers, newBodyHandler(a, a.changeMembers))
	mux.HandleFunc("GET "+pathMetrics, a.serveMetrics)
	return mux
}

// admitCallers rejects calls without an operator's or a member's certificate with status 403, and calls beyond
// maxConcurrentAdminRequests with status 503.
func (a *adminServer) admitCallers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := a.authenticate(r); err != nil {
			writeJSON(w, http.StatusForbidden, errorResponse{err.Error()})
			return
		}
		select {
		case a.inFlight <- struct{}{}:
			defer func() { <-a.inFlight }()
			next.ServeHTTP(w, r)
		default:
			writeJSON(w, http.StatusServiceUnavailable, errorResponse{"too many admin requests are in progress"})
		}
	})
}

// authenticate returns the holder of the caller's certificate: an operator or a member of this cluster.
func (a *adminServer) authenticate(r *http.Request) (holder raftnode.Identity, err error) {
	if holder, err = callerIdentity(r); err != nil {
		return holder, err
	}
	return holder, authorizeOperator(holder, a.member.cfg.Cluster)
}

// errNoCertificate reports that a caller has presented no certificate.
var errNoCertificate = errors.New("no certificate")

// callerIdentity returns the identity in the caller's certificate, which the handshake has verified.
func callerIdentity(r *http.Request) (raftnode.Identity, error) {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return raftnode.Identity{}, errNoCertificate
	}
	return raftnode.IdentityOf(r.TLS.PeerCertificates[0])
}

// authorizeOperator returns an error if the holder of a certificate may not call the admin API of a cluster. The
// certificate may name another cluster, since one authority can sign for several, or a follower, which only receives
// the configuration.
func authorizeOperator(holder raftnode.Identity, cluster string) error {
	if holder.Cluster != cluster {
		return fmt.Errorf("the certificate belongs to cluster %q: this is cluster %q", holder.Cluster, cluster)
	}
	if holder.Follower != "" {
		return fmt.Errorf("follower %q is not authorized: only operators and members may call the admin API", holder.Follower)
	}
	return nil
}

// newHandler returns a handler that calls serve with the caller's timeout and responds with its result.
func newHandler[Response any](a *adminServer,
	serve func(context.Context, *http.Request) (Response, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), adminTimeout(r))
		defer cancel()
		response, err := serve(ctx, r)
		if err != nil {
			a.writeError(ctx, w, err)
			return
		}
		writeJSON(w, http.StatusOK, response)
	}
}

// newBodyHandler is [newHandler] for requests with a JSON body.
func newBodyHandler[Request, Response any](a *adminServer,
	serve func(context.Context, *http.Request, *Request) (Response, error)) http.HandlerFunc {
	return newHandler(a, func(ctx context.Context, r *http.Request) (response Response, err error) {
		request := new(Request)
		if err := readJSON(r, request); err != nil {
			return response, err
		}
		return serve(ctx, r, request)
	})
}

// adminTimeout returns the timeout of a request: the milliseconds in headerTimeout, up to maxAdminTimeout, or
// defaultAdminTimeout if the header is missing or invalid.
func adminTimeout(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(headerTimeout))
	if err != nil || ms <= 0 {
		return defaultAdminTimeout
	}
	return min(time.Duration(ms)*time.Millisecond, maxAdminTimeout)
}

func (a *adminServer) writeError(ctx context.Context, w http.ResponseWriter, err error) {
	if e, ok := errors.AsType[*statusError](err); ok {
		writeJSON(w, e.status, e.body)
		return
	}
	writeJSON(w, http.StatusServiceUnavailable, errorResponse{a.explain(ctx, err)})
}

// explain returns the text of an error for operators. If there was no leader or no quorum, it adds the voters and the
// leader.
func (a *adminServer) explain(ctx context.Context, err error) string {
	if !errors.Is(err, raftnode.ErrNoLeader) && !errors.Is(err, raftnode.ErrOutcomeUnknown) {
		return err.Error()
	}
	// The request's own timeout may have expired.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaderLookupTimeout)
	defer cancel()
	status, statusErr := a.member.node.Status(ctx)
	if statusErr != nil {
		return err.Error()
	}
	leader := "none"
	if status.Leader != 0 {
		leader = fmt.Sprint(status.Leader)
	}
	return fmt.Sprintf("member %d: %v (voters: %v, leader: %s)", status.ID, err, status.Voters, leader)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		status, text = http.StatusInternalServerError, []byte(`{"error":"the response cannot be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(text, '\n'))
}

func readJSON(r *http.Request, to any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxAdminBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(to); err != nil {
		return newBadRequest("body: %v", err)
	}
	return nil
}
