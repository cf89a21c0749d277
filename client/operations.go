package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
)

func (c *Client) get(ctx context.Context, path string, query url.Values, target any) error {
	return c.do(ctx, call{
		method:     http.MethodGet,
		path:       path,
		query:      query,
		repeatable: true,
	}, target)
}

// Config returns the published document.
func (c *Client) Config(ctx context.Context) (*ConfigResponse, error) {
	var response ConfigResponse
	return &response, c.get(ctx, "/v1/config", nil, &response)
}

// Section returns one published section.
func (c *Client) Section(ctx context.Context, name string) (*Section, error) {
	var response Section
	return &response, c.get(ctx, "/v1/config/"+url.PathEscape(name), nil, &response)
}

// Check checks a document text and compares it with the published one.
func (c *Client) Check(ctx context.Context, text string) (*CheckResponse, error) {
	var response CheckResponse
	return &response, c.do(ctx, call{
		method:     http.MethodPost,
		path:       "/v1/config/check",
		body:       CheckRequest{Text: text},
		repeatable: true,
	}, &response)
}

// Publish publishes sections. The response holds a result for each section
// also if the error is set. A repeated publication of the same text is
// answered with unchanged, so it may be tried again.
func (c *Client) Publish(ctx context.Context, request *PublishRequest) (*PublishResponse, error) {
	var response PublishResponse
	return &response, c.do(ctx, call{
		method:     http.MethodPost,
		path:       "/v1/config/publish",
		body:       request,
		repeatable: true,
		keepsBody:  true,
	}, &response)
}

// Zones returns the zones.
func (c *Client) Zones(ctx context.Context) ([]Zone, error) {
	var response []Zone
	err := c.get(ctx, "/v1/zones", nil, &response)
	return response, err
}

// SetZone takes a zone out of service or back in.
func (c *Client) SetZone(ctx context.Context, zone string, inService bool) (*Zone, error) {
	direction := "out"
	if inService {
		direction = "in"
	}
	var response Zone
	return &response, c.do(ctx, call{
		method:     http.MethodPost,
		path:       "/v1/zones/" + url.PathEscape(zone) + "/" + direction,
		body:       TeamRequest{Team: c.Team},
		repeatable: true,
	}, &response)
}

// Hosts returns the hosts.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var response []Host
	err := c.get(ctx, "/v1/hosts", nil, &response)
	return response, err
}

// DeclareLost returns the tasks of a host to the queue. A set boot must be the
// host's current worker boot.
func (c *Client) DeclareLost(ctx context.Context, host, boot string) (*Host, error) {
	return c.changeHost(ctx, host, "lost", boot)
}

// Drain evicts the tasks of a host and keeps new ones away until its agent
// starts again. A set boot must be the host's current worker boot.
func (c *Client) Drain(ctx context.Context, host, boot string) (*Host, error) {
	return c.changeHost(ctx, host, "drain", boot)
}

func (c *Client) changeHost(ctx context.Context, host, change, boot string) (*Host, error) {
	var response Host
	return &response, c.do(ctx, call{
		method: http.MethodPost,
		path:   "/v1/hosts/" + url.PathEscape(host) + "/" + change,
		body: TeamRequest{
			Team:       c.Team,
			WorkerBoot: boot,
		},
	}, &response)
}

// Endpoints returns the endpoints.
func (c *Client) Endpoints(ctx context.Context) ([]Endpoint, error) {
	var response []Endpoint
	err := c.get(ctx, "/v1/endpoints", nil, &response)
	return response, err
}

// Services returns the services.
func (c *Client) Services(ctx context.Context) ([]Service, error) {
	var response []Service
	err := c.get(ctx, "/v1/services", nil, &response)
	return response, err
}

// Status returns the view of an entry process.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	var response Status
	return &response, c.get(ctx, "/v1/status", nil, &response)
}

// Audit returns the latest changes.
func (c *Client) Audit(ctx context.Context, filter AuditFilter) (*AuditResponse, error) {
	var response AuditResponse
	return &response, c.get(ctx, "/v1/audit", values(map[string]string{
		"kind":    filter.Kind,
		"subject": filter.Subject,
		"actor":   filter.Actor,
		"limit":   limit(filter.Limit),
	}), &response)
}

// Submit submits a task. With a key the call is tried again after any failure.
func (c *Client) Submit(ctx context.Context, request *TaskRequest, key string) (*Task, error) {
	var response Task
	return &response, c.do(ctx, call{
		method:     http.MethodPost,
		path:       "/v1/tasks",
		body:       request,
		key:        key,
		repeatable: key != "",
	}, &response)
}

// Task returns a task.
func (c *Client) Task(ctx context.Context, id string) (*Task, error) {
	var response Task
	return &response, c.get(ctx, "/v1/tasks/"+url.PathEscape(id), nil, &response)
}

// Tasks returns one page of tasks.
func (c *Client) Tasks(ctx context.Context, filter TaskFilter) (*TaskList, error) {
	var response TaskList
	return &response, c.get(ctx, "/v1/tasks", values(map[string]string{
		"team":  filter.Team,
		"kind":  filter.Kind,
		"phase": filter.Phase,
		"host":  filter.Host,
		"after": filter.After,
		"limit": limit(filter.Limit),
	}), &response)
}

// Cancel cancels a task of the client's team.
func (c *Client) Cancel(ctx context.Context, id string) (*Task, error) {
	var response Task
	return &response, c.do(ctx, call{
		method:     http.MethodDelete,
		path:       "/v1/tasks/" + url.PathEscape(id),
		query:      values(map[string]string{"team": c.Team}),
		repeatable: true,
	}, &response)
}

// Explain returns the scheduler's account of a task.
func (c *Client) Explain(ctx context.Context, id string) (*Explanation, error) {
	var response Explanation
	return &response, c.get(ctx, "/v1/tasks/"+url.PathEscape(id)+"/explain", nil, &response)
}

func values(fields map[string]string) url.Values {
	query := url.Values{}
	for name, value := range fields {
		if value != "" {
			query.Set(name, value)
		}
	}
	return query
}

func limit(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}
