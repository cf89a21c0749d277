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

// EndpointStatusError reports that an endpoint ran the request and responded with
// an HTTP status of 400 or above.
type EndpointStatusError struct {
	Status int
}

func (e *EndpointStatusError) Error() string {
	return fmt.Sprintf("the request ran; the endpoint responded with status %d", e.Status)
}

// requestOutput is the JSON output of the request command.
type requestOutput struct {
	Status    int    `json:"status"`
	RequestID string `json:"request_id"`
	ConfigAge string `json:"config_age,omitempty"`
	Tries     int    `json:"tries"`
	Body      string `json:"body"`
}

func (c *Commander) requestCommand() *cobra.Command {
	var request client.Request
	var bodyFlag string
	command := &cobra.Command{
		Use:   "request SERVICE PATH",
		Short: "Send a request to an endpoint of a service",
		Long: `Send a request to an endpoint of a service and print the body of the response. The
request is retried only if its outcome is not_run, or if it has a key or is
idempotent. The exit code indicates the outcome.`,
		Example: "  damaskspread request tags /counter --key guest-412 --body '{\"coat\":412}'\n  damaskspread request planning /preview --kind preview --idempotent --body @fold.json",
		Args:    cobra.ExactArgs(2),
		RunE: c.run(func(cmd *cobra.Command, args []string) error {
			if !cmd.Flags().Changed("timeout") {
				c.timeout = 2 * time.Second
			}
			data, err := c.readBody(bodyFlag)
			if err != nil {
				return err
			}
			request.Service, request.Path, request.Body, request.Timeout = args[0], args[1], data, c.timeout
			return c.runWithClient(func(ctx context.Context, apiClient *client.Client, _ []string) error {
				return c.execute(ctx, apiClient, &request)
			})(cmd, args)
		}),
	}
	flags := command.Flags()
	flags.StringVar(&bodyFlag, "body", "", "body of the request, or @FILE to read it from a file; @- is standard input")
	flags.StringVar(&request.Key, "key", "", "idempotency key")
	flags.BoolVar(&request.FirstAttempt, "first-attempt", false, "state that the key has not been sent before")
	flags.BoolVar(&request.Idempotent, "idempotent", false, "the request may safely run more than once")
	flags.StringVar(&request.Kind, "kind", "", "class of the request")
	return command
}

func (c *Commander) readBody(text string) ([]byte, error) {
	path, isFile := strings.CutPrefix(text, "@")
	if !isFile {
		return []byte(text), nil
	}
	data, err := c.readFile(path)
	return []byte(data), err
}

func (c *Commander) execute(ctx context.Context, apiClient *client.Client, request *client.Request) error {
	response, err := apiClient.Execute(ctx, request)
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
