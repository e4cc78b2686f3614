package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"mulleinmux/internal/cluster"
	"mulleinmux/internal/raftnode"
)

// clusterFlags select the instances that a command is sent to, and the operator who sends it.
type clusterFlags struct {
	At       []string      `help:"Admin addresses of members. Requests are sent to the first that can be reached." default:"127.0.0.1:7201" env:"MULLEINGATE_AT"`
	Certs    string        `help:"Folder with the operator's certificate." default:"certs" env:"MULLEINGATE_CERTS" type:"path"`
	Operator string        `help:"Name of the operator, as in the file name of the certificate." default:"admin" env:"MULLEINGATE_OPERATOR"`
	Timeout  time.Duration `help:"How long to wait for the cluster." default:"10s"`
	JSON     bool          `help:"Print the result as JSON."`
}

// configCmd shows the configuration that the instances of a cluster agree on, and changes it.
type configCmd struct {
	clusterFlags

	Get     getCmd     `cmd:"" help:"Show the agreed objects. Example: gateway config get plan kubwa"`
	History historyCmd `cmd:"" help:"Show the versions with their times, authors, changes and reasons."`
	Diff    diffCmd    `cmd:"" help:"Show what a file would change; exits with 1 if it would change anything. Example: gateway config diff fleet.toml"`
	Apply   applyCmd   `cmd:"" help:"Propose the configuration in a file to the cluster. Example: gateway config apply fleet.toml --why 'new tariff' --wait applied-everywhere"`
	Members membersCmd `cmd:"" help:"Change the members."`
	Epoch   epochCmd   `cmd:"" help:"Begin a new epoch of versions, after members were restored from a backup."`
	Status  statusCmd  `cmd:"" help:"Show the status of each member."`
}

// newClient returns a client with the operator's certificate.
func (c *clusterFlags) newClient() (*cluster.Client, error) {
	creds, err := raftnode.LoadCredentialFiles(c.Certs, raftnode.OperatorFilePrefix(c.Operator))
	if err != nil {
		err = fmt.Errorf("--certs, --operator: %w (made by gateway certs --operators %s)", err, c.Operator)
		return nil, usageError{err}
	}
	identity, err := creds.Identity()
	if err != nil {
		return nil, usageError{fmt.Errorf("--certs: %w", err)}
	}
	return cluster.NewClient(identity.Cluster, creds, c.At...), nil
}

// Bounds of --timeout.
const (
	minClientTimeout = 100 * time.Millisecond
	maxClientTimeout = 2 * time.Minute
)

// withClient runs f with a client and a context that ends after --timeout. A request that the cluster rejects as a bad
// request is returned as a usage error.
func (c *clusterFlags) withClient(e *environment, f func(context.Context, *cluster.Client) error) error {
	if c.Timeout < minClientTimeout || c.Timeout > maxClientTimeout {
		return usageError{fmt.Errorf("--timeout: %v is outside 100ms to 2m", c.Timeout)}
	}
	cl, err := c.newClient()
	if err != nil {
		return err
	}
	defer cl.Close()
	ctx, cancel := context.WithTimeout(e.ctx, c.Timeout)
	defer cancel()
	err = f(ctx, cl)
	if resp, ok := errors.AsType[*cluster.ResponseError](err); ok && resp.Status == http.StatusBadRequest {
		return usageError{err}
	}
	return err
}

// showResult sends a request to the cluster by withClient and prints the result: as JSON with --json, else with print.
func showResult[T any](
	c *clusterFlags,
	e *environment,
	request func(context.Context, *cluster.Client) (T, error),
	print func(io.Writer, T) error,
) error {
	return c.withClient(e, func(ctx context.Context, client *cluster.Client) error {
		result, err := request(ctx, client)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(e.stdout, result)
		}
		return print(e.stdout, result)
	})
}
