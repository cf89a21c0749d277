package commander

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"damaskspread.example/damaskspread/client"
)

func (c *Commander) zoneCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "zone",
		Short:   "Take availability zones out of service and back in",
		Example: "  damaskspread zone out gaspe --team platform\n  damaskspread zone list",
	}
	command.AddCommand(
		c.zoneSetService("out ZONE", "Take a zone out of service: after 5 s no task or request starts in it", false),
		c.zoneSetService("in ZONE", "Return a zone to service", true),
		&cobra.Command{
			Use:     "list",
			Short:   "List the zones",
			Example: "  damaskspread zone list",
			Args:    cobra.NoArgs,
			RunE: c.runWithClient(func(ctx context.Context, apiClient *client.Client, _ []string) error {
				zones, err := apiClient.Zones(ctx)
				if err != nil {
					return err
				}
				return c.printZones(zones, zones)
			}),
		},
	)
	return command
}

func (c *Commander) zoneSetService(use, short string, inService bool) *cobra.Command {
	return &cobra.Command{
		Use:     use,
		Short:   short,
		Example: "  damaskspread zone " + strings.Replace(use, "ZONE", "gaspe", 1) + " --team platform",
		Args:    cobra.ExactArgs(1),
		RunE: c.runWithClient(func(ctx context.Context, apiClient *client.Client, args []string) error {
			if err := c.requireTeam(); err != nil {
				return err
			}
			zone, err := apiClient.SetZone(ctx, args[0], inService)
			if err != nil {
				return err
			}
			return c.printZones(zone, []client.Zone{*zone})
		}),
	}
}

func (c *Commander) printZones(value any, zones []client.Zone) error {
	return c.print(value, func(t *table) {
		t.row("ZONE", "IN SERVICE", "DRAIN", "OWNER", "REGION", "HOSTS", "MEMBERS")
		for _, z := range zones {
			t.row(z.Zone, yesNo(z.InService), yesNo(z.Drain), z.Owner, z.Region, z.Hosts, z.Members)
		}
	})
}

func (c *Commander) hostCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "host",
		Short:   "List hosts, drain a host or declare it lost",
		Example: "  damaskspread host list\n  damaskspread host lost host-03 --team platform",
	}
	command.AddCommand(&cobra.Command{
		Use:     "list",
		Short:   "List the hosts",
		Example: "  damaskspread host list",
		Args:    cobra.NoArgs,
		RunE: c.runWithClient(func(ctx context.Context, apiClient *client.Client, _ []string) error {
			hosts, err := apiClient.Hosts(ctx)
			if err != nil {
				return err
			}
			return c.printHosts(hosts, hosts)
		}),
	}, c.hostChange(&cobra.Command{
		Use:   "lost HOST",
		Short: "Declare a host lost: its tasks return to the queue immediately",
		Long: `Declare a host lost: its tasks return to the queue immediately. First make sure
that the host no longer runs them; otherwise they run on two hosts at once.`,
		Example: "  damaskspread host lost host-03 --team platform --boot 5d1c",
	}, (*client.Client).DeclareLost), c.hostChange(&cobra.Command{
		Use:   "drain HOST",
		Short: "Evict a host's tasks and assign no new ones to it",
		Long: `Checkpoint and evict the tasks of a host. The host gets no new tasks or requests
until its agent restarts.`,
		Example: "  damaskspread host drain host-03 --team platform",
	}, (*client.Client).Drain))
	return command
}

// hostChange sets the arguments, flags and run function of a command that changes
// one host.
func (c *Commander) hostChange(
	command *cobra.Command, change func(apiClient *client.Client, ctx context.Context, host, boot string) (*client.Host, error),
) *cobra.Command {
	var boot string
	command.Args = cobra.ExactArgs(1)
	command.RunE = c.runWithClient(func(ctx context.Context, apiClient *client.Client, args []string) error {
		if err := c.requireTeam(); err != nil {
			return err
		}
		host, err := change(apiClient, ctx, args[0], boot)
		if err != nil {
			return err
		}
		return c.printHosts(host, []client.Host{*host})
	})
	command.Flags().StringVar(&boot, "boot", "", "boot id of the host's worker; the change is refused if it differs")
	return command
}

func formatThrottle(permille int) string {
	if permille == 0 {
		return "none"
	}
	return fmt.Sprintf("%d%%", permille/10)
}

func (c *Commander) printHosts(value any, hosts []client.Host) error {
	return c.print(value, func(t *table) {
		t.row("HOST", "STATE", "ZONE", "RACK", "SERVICE", "TASKS", "THROTTLE", "FREE CORES", "FREE MEMORY", "BOOT")
		for _, h := range hosts {
			t.row(h.Host, h.State, h.Zone, h.Rack, h.Service, h.Tasks, formatThrottle(h.BatchSharePermille),
				formatCores(h.Free.Millicores)+"/"+formatCores(h.Capacity.Millicores),
				formatGigabytes(h.Free.MemoryBytes)+"/"+formatGigabytes(h.Capacity.MemoryBytes), h.WorkerBoot)
		}
	})
}

func (c *Commander) endpointCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "endpoint",
		Short:   "List endpoints",
		Example: "  damaskspread endpoint list",
	}
	command.AddCommand(&cobra.Command{
		Use:     "list",
		Short:   "List the endpoints with the latest load known to the entry process",
		Example: "  damaskspread endpoint list",
		Args:    cobra.NoArgs,
		RunE: c.runWithClient(func(ctx context.Context, apiClient *client.Client, _ []string) error {
			endpoints, err := apiClient.Endpoints(ctx)
			if err != nil {
				return err
			}
			return c.print(endpoints, func(t *table) {
				t.row("SERVICE", "HOST", "ZONE", "STATE", "IN SERVICE", "SLOTS", "RUNNING", "QUEUED", "LIMIT")
				for _, e := range endpoints {
					t.row(e.Service, e.Host, e.Zone, e.State, yesNo(e.InService), e.Slots,
						formatLoad(e.LoadKnown, e.Running), formatLoad(e.LoadKnown, e.Queued), formatLoad(e.LoadKnown, e.Limit))
				}
			})
		}),
	})
	return command
}

func formatLoad(isKnown bool, value int32) string {
	if !isKnown {
		return "?"
	}
	return fmt.Sprint(value)
}

func (c *Commander) serviceCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "service",
		Short:   "List services",
		Example: "  damaskspread service list",
	}
	command.AddCommand(&cobra.Command{
		Use:     "list",
		Short:   "List the services",
		Example: "  damaskspread service list",
		Args:    cobra.NoArgs,
		RunE: c.runWithClient(func(ctx context.Context, apiClient *client.Client, _ []string) error {
			services, err := apiClient.Services(ctx)
			if err != nil {
				return err
			}
			return c.print(services, func(t *table) {
				t.row("SERVICE", "DECLARED", "OWNER", "ENDPOINTS", "MEMBERS", "SLOTS", "SHARDS READY")
				for _, s := range services {
					t.row(s.Service, yesNo(s.Declared), s.Owner, s.Endpoints, s.Members, s.Slots,
						fmt.Sprintf("%d/%d", s.ShardsReady, s.Shards))
				}
			})
		}),
	})
	return command
}

func (c *Commander) auditCommand() *cobra.Command {
	var filter client.AuditFilter
	command := &cobra.Command{
		Use:   "audit",
		Short: "List the latest changes, newest first",
		Long: `List the latest changes, newest first: who changed which section, host or task, the
old and new values, and the offset. The entry process keeps the list in memory. It
only contains changes that the process has replayed since it started.`,
		Example: "  damaskspread audit --kind section --limit 20\n  damaskspread audit --subject \"zone gaspe\"",
		Args:    cobra.NoArgs,
		RunE: c.runWithClient(func(ctx context.Context, apiClient *client.Client, _ []string) error {
			audit, err := apiClient.Audit(ctx, filter)
			if err != nil {
				return err
			}
			return c.print(audit, func(t *table) {
				t.row("OFFSET", "TIME", "ACTOR", "SUBJECT", "ACTION", "FROM", "TO", "EFFECT")
				for _, e := range audit.Entries {
					effect := "applied"
					if !e.Applied {
						effect = "none: " + string(e.Reason)
					}
					t.row(e.Position.Offset, formatTime(e.UnixMs), e.Actor, e.Subject, e.Action, e.From, e.To, effect)
				}
				t.row(fmt.Sprintf("since offset %d, %d gaps", audit.Since, audit.Gaps))
			})
		}),
	}
	flags := command.Flags()
	flags.StringVar(&filter.Kind, "kind", "", "kind of the subject: section, host, entry or task")
	flags.StringVar(&filter.Subject, "subject", "", "section, host, entry or task that changed")
	flags.StringVar(&filter.Actor, "by", "", "actor who requested the change")
	flags.IntVar(&filter.Limit, "limit", 50, "number of changes, at most 1000")
	return command
}

func (c *Commander) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show the state of the cluster as known to an entry process",
		Example: "  damaskspread status --entry 10.20.0.1:7400 --output json",
		Args:    cobra.NoArgs,
		RunE: c.runWithClient(func(ctx context.Context, apiClient *client.Client, _ []string) error {
			status, err := apiClient.Status(ctx)
			if err != nil {
				return err
			}
			return c.print(status, func(t *table) {
				t.row("entry", status.Entry+" "+status.Version)
				t.row("offset", status.Offset)
				t.row("currency age", currencyAge(status))
				t.row("stale", yesNo(status.Stale))
				t.row("entries", strings.Join(status.Entries, ", "))
				t.row("hosts", formatCounts(status.Hosts))
				t.row("tasks", formatCounts(status.Tasks))
				t.row("zones out", strings.Join(status.ZonesOut, ", "))
				for _, d := range status.Rejected {
					t.row("rejected", d.Error())
				}
			})
		}),
	}
}

func currencyAge(status *client.Status) string {
	if status.AgeMs >= client.UnknownAgeMs {
		return "unknown: the log has not been replayed yet"
	}
	return fmt.Sprintf("%d ms of %d ms", status.AgeMs, status.CurrencyLimitMs)
}
