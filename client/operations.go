package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
)

func (c *Client) get(ctx context.Context, path string, query url.Values, target any) error {
	return c.call(ctx, operation{
		method:     http.MethodGet,
		path:       path,
		query:      query,
		repeatable: true,
	}, target)
}

// Config returns all published sections of the configuration.
func (c *Client) Config(ctx context.Context) (*ConfigResponse, error) {
	var response ConfigResponse
	return &response, c.get(ctx, "/v1/config", nil, &response)
}

// Section returns one published section.
func (c *Client) Section(ctx context.Context, name string) (*Section, error) {
	var response Section
	return &response, c.get(ctx, "/v1/config/"+url.PathEscape(name), nil, &response)
}

// Check validates the text of a configuration document and compares it with the
// published sections. It publishes nothing.
func (c *Client) Check(ctx context.Context, text string) (*CheckResponse, error) {
	var response CheckResponse
	return &response, c.call(ctx, operation{
		method:     http.MethodPost,
		path:       "/v1/config/check",
		body:       CheckRequest{Text: text},
		repeatable: true,
	}, &response)
}

// Publish publishes sections. The response holds the results of the sections even
// if an error is returned. Retries are safe because publishing the same text
// again gives the result unchanged.
func (c *Client) Publish(ctx context.Context, request *PublishRequest) (*PublishResponse, error) {
	var response PublishResponse
	return &response, c.call(ctx, operation{
		method:        http.MethodPost,
		path:          "/v1/config/publish",
		body:          request,
		repeatable:    true,
		decodeOnError: true,
	}, &response)
}

// Zones returns all availability zones.
func (c *Client) Zones(ctx context.Context) ([]Zone, error) {
	var response []Zone
	err := c.get(ctx, "/v1/zones", nil, &response)
	return response, err
}

// SetZone puts a zone into service or takes it out of service.
func (c *Client) SetZone(ctx context.Context, zone string, inService bool) (*Zone, error) {
	direction := "out"
	if inService {
		direction = "in"
	}
	var response Zone
	return &response, c.call(ctx, operation{
		method:     http.MethodPost,
		path:       "/v1/zones/" + url.PathEscape(zone) + "/" + direction,
		body:       TeamRequest{Team: c.Team},
		repeatable: true,
	}, &response)
}

// Hosts returns all known hosts.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var response []Host
	err := c.get(ctx, "/v1/hosts", nil, &response)
	return response, err
}

// DeclareLost declares a host lost, so that its tasks return to the queue. If boot
// is not empty, it must be the current boot of the host's worker.
func (c *Client) DeclareLost(ctx context.Context, host, boot string) (*Host, error) {
	return c.changeHost(ctx, host, "lost", boot)
}

// Drain evicts the tasks of a host. The host gets no new tasks until its agent
// starts again. If boot is not empty, it must be the current boot of the host's
// worker.
func (c *Client) Drain(ctx context.Context, host, boot string) (*Host, error) {
	return c.changeHost(ctx, host, "drain", boot)
}

func (c *Client) changeHost(ctx context.Context, host, change, boot string) (*Host, error) {
	var response Host
	return &response, c.call(ctx, operation{
		method: http.MethodPost,
		path:   "/v1/hosts/" + url.PathEscape(host) + "/" + change,
		body: TeamRequest{
			Team:       c.Team,
			WorkerBoot: boot,
		},
	}, &response)
}

// Endpoints returns the endpoints of all services.
func (c *Client) Endpoints(ctx context.Context) ([]Endpoint, error) {
	var response []Endpoint
	err := c.get(ctx, "/v1/endpoints", nil, &response)
	return response, err
}

// Services returns all services.
func (c *Client) Services(ctx context.Context) ([]Service, error) {
	var response []Service
	err := c.get(ctx, "/v1/services", nil, &response)
	return response, err
}

// Status returns the status of the entry process that responds.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	var response Status
	return &response, c.get(ctx, "/v1/status", nil, &response)
}

// Audit returns the latest changes that match a filter, the newest first.
func (c *Client) Audit(ctx context.Context, filter AuditFilter) (*AuditResponse, error) {
	var response AuditResponse
	return &response, c.get(ctx, "/v1/audit", nonEmptyValues(map[string]string{
		"kind":    filter.Kind,
		"subject": filter.Subject,
		"actor":   filter.Actor,
		"limit":   formatLimit(filter.Limit),
	}), &response)
}

// Submit submits a task. With an idempotency key, tries with unknown outcome are
// repeated; without one ("") they are not.
func (c *Client) Submit(ctx context.Context, request *TaskRequest, key string) (*Task, error) {
	var response Task
	return &response, c.call(ctx, operation{
		method:         http.MethodPost,
		path:           "/v1/tasks",
		body:           request,
		idempotencyKey: key,
		repeatable:     key != "",
	}, &response)
}

// Task returns the task with an ID.
func (c *Client) Task(ctx context.Context, id string) (*Task, error) {
	var response Task
	return &response, c.get(ctx, "/v1/tasks/"+url.PathEscape(id), nil, &response)
}

// Tasks returns one page of the tasks that match a filter.
func (c *Client) Tasks(ctx context.Context, filter TaskFilter) (*TaskList, error) {
	var response TaskList
	return &response, c.get(ctx, "/v1/tasks", nonEmptyValues(map[string]string{
		"team":  filter.Team,
		"kind":  filter.Kind,
		"phase": filter.Phase,
		"host":  filter.Host,
		"after": filter.After,
		"limit": formatLimit(filter.Limit),
	}), &response)
}

// Cancel cancels a task of the client's team.
func (c *Client) Cancel(ctx context.Context, id string) (*Task, error) {
	var response Task
	return &response, c.call(ctx, operation{
		method:     http.MethodDelete,
		path:       "/v1/tasks/" + url.PathEscape(id),
		query:      nonEmptyValues(map[string]string{"team": c.Team}),
		repeatable: true,
	}, &response)
}

// Explain returns a task with the reason of the scheduler's latest decision on it.
func (c *Client) Explain(ctx context.Context, id string) (*Explanation, error) {
	var response Explanation
	return &response, c.get(ctx, "/v1/tasks/"+url.PathEscape(id)+"/explain", nil, &response)
}

func nonEmptyValues(fields map[string]string) url.Values {
	query := url.Values{}
	for name, value := range fields {
		if value != "" {
			query.Set(name, value)
		}
	}
	return query
}

func formatLimit(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}
