package commander

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"damaskspread.example/damaskspread/client"
)

// EndpointStatusError is a response of an endpoint that ran the request and
// answered with an error status.
type EndpointStatusError struct {
	Status int
}

func (e *EndpointStatusError) Error() string {
	return fmt.Sprintf("the request ran; the endpoint answered with status %d", e.Status)
}

// requestOutput is the JSON output of request.
type requestOutput struct {
	Status    int    `json:"status"`
	RequestID string `json:"request_id"`
	ConfigAge string `json:"config_age,omitempty"`
	Tries     int    `json:"tries"`
	Body      string `json:"body"`
}

func (c *Commander) requestCommand() *cobra.Command {
	var request client.Request
	var body string
	command := &cobra.Command{
		Use:   "request SERVICE PATH",
		Short: "Send one urgent request",
		Long: `Send one urgent request and print the endpoint's body. It is tried again only
after not_run, or with the same key. The exit code tells the outcome.`,
		Example: "  damaskspread request tags /counter --key guest-412 --body '{\"coat\":412}'\n  damaskspread request planning /preview --kind preview --idempotent --body @fold.json",
		Args:    cobra.ExactArgs(2),
		RunE: c.run(func(cmd *cobra.Command, args []string) error {
			if !cmd.Flags().Changed("timeout") {
				c.timeout = 2 * time.Second
			}
			data, err := c.body(body)
			if err != nil {
				return err
			}
			request.Service, request.Path, request.Body, request.Timeout = args[0], args[1], data, c.timeout
			return c.call(func(ctx context.Context, caller *client.Client, _ []string) error {
				return c.execute(ctx, caller, &request)
			})(cmd, args)
		}),
	}
	flags := command.Flags()
	flags.StringVar(&body, "body", "", "body, or @FILE; @- is standard input")
	flags.StringVar(&request.Key, "key", "", "idempotency key")
	flags.BoolVar(&request.FirstAttempt, "first-attempt", false, "assert that the key was never sent before")
	flags.BoolVar(&request.Idempotent, "idempotent", false, "running the request twice is harmless")
	flags.StringVar(&request.Kind, "kind", "", "class of the request")
	return command
}

func (c *Commander) body(text string) ([]byte, error) {
	path, isFile := strings.CutPrefix(text, "@")
	if !isFile {
		return []byte(text), nil
	}
	data, err := c.readFile(path)
	return []byte(data), err
}

func (c *Commander) execute(ctx context.Context, caller *client.Client, request *client.Request) error {
	response, err := caller.Execute(ctx, request)
	if err != nil {
		return err
	}
	if c.output == "json" {
		err = c.print(requestOutput{
			Status:    response.Status,
			RequestID: response.RequestID,
			ConfigAge: response.ConfigAge,
			Tries:     response.Tries,
			Body:      string(response.Body),
		}, nil)
	} else {
		_, err = c.Out.Write(response.Body)
	}
	if err == nil && response.Status >= http.StatusBadRequest {
		return &EndpointStatusError{
			Status: response.Status,
		}
	}
	return err
}
