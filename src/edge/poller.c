#include "edge/poller.h"

#include "types/table.h"

#include <errno.h>
#include <glib-unix.h>
#include <sys/epoll.h>

#define READY_MAX 1024 /* events taken from epoll at a time */

/* A watched descriptor.  */
struct poller_entry
{
  int fd;         /* the descriptor */
  guint32 events; /* watched events, POLLER_ bits; 0: not in the epoll set */
  gboolean is_first; /* reported before the others that are ready */
  poller_fn *fn;     /* called when an event is ready */
  gpointer data;     /* argument of fn */
};

/* The epoll set of the process.  */
struct poller
{
  int epoll_fd;         /* descriptor of the epoll set, -1: none yet */
  struct table entries; /* struct poller_entry */
};

static struct poller poller = { .epoll_fd = -1 };

/* Apply OPERATION, of epoll_ctl, to the descriptor of ENTRY, whose handle is
   H.  */
static void
update_epoll (struct handle h, const struct poller_entry *entry, int operation)
{
  struct epoll_event event = { .data.u32 = h.bits };

  if (entry->events & POLLER_IN)
    event.events |= EPOLLIN;
  if (entry->events & POLLER_OUT)
    event.events |= EPOLLOUT;
  if (entry->events & POLLER_HANGUP)
    event.events |= EPOLLRDHUP;
  if (epoll_ctl (poller.epoll_fd, operation, entry->fd, &event) != 0)
    g_critical ("epoll_ctl %d of descriptor %d: %s", operation, entry->fd,
                g_strerror (errno));
}

/* Report the ready events of the descriptor H if it is one that IS_FIRST.  An
   error or a hang-up makes all watched events ready: the read or write that
   follows returns the error.  */
static void
dispatch (struct handle h, guint32 epoll_events, gboolean is_first)
{
  const struct poller_entry *entry = table_get (&poller.entries, h);
  guint32 ready = 0;

  if (entry == NULL || entry->is_first != is_first)
    return;
  if (epoll_events & EPOLLIN)
    ready |= POLLER_IN;
  if (epoll_events & EPOLLOUT)
    ready |= POLLER_OUT;
  if (epoll_events & EPOLLRDHUP)
    ready |= POLLER_HANGUP;
  if (epoll_events & (EPOLLERR | EPOLLHUP))
    ready = POLLER_IN | POLLER_OUT | POLLER_HANGUP;
  ready &= entry->events;
  if (ready != 0)
    entry->fn (ready, entry->data);
}

/* Report all descriptors of the epoll set that are ready, those that are to be
   first before the others.  */
static gboolean
on_ready (gint fd, GIOCondition condition, gpointer data)
{
  struct epoll_event events[READY_MAX];
  int count = epoll_wait (fd, events, READY_MAX, 0);
  int i;

  (void)condition;
  (void)data;
  for (i = 0; i < count; i++)
    {
      struct handle h = { events[i].data.u32 };
      dispatch (h, events[i].events, TRUE);
    }
  for (i = 0; i < count; i++)
    {
      struct handle h = { events[i].data.u32 };
      dispatch (h, events[i].events, FALSE);
    }
  return G_SOURCE_CONTINUE;
}

/* Create the epoll set and watch it on the main loop.  */
static void
poller_init (void)
{
  poller.epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  if (poller.epoll_fd < 0)
    g_error ("epoll_create1: %s", g_strerror (errno));
  table_init (&poller.entries, sizeof (struct poller_entry));
  g_unix_fd_add (poller.epoll_fd, G_IO_IN, on_ready, NULL);
}

/* Watch FD for EVENTS, POLLER_ bits; FN is called with DATA when one is ready.
   Return the handle of the watch.  */
struct handle
poller_add (int fd, guint32 events, poller_fn *fn, gpointer data)
{
  struct poller_entry *entry;
  struct handle h;

  if (poller.epoll_fd < 0)
    poller_init ();
  h = table_add (&poller.entries);
  entry = table_get (&poller.entries, h);
  entry->fd = fd;
  entry->events = events;
  entry->fn = fn;
  entry->data = data;
  if (events != 0)
    update_epoll (h, entry, EPOLL_CTL_ADD);
  return h;
}

/* Report the descriptor H before the others that are ready with it if
   IS_FIRST, else with them.  This is for descriptors that tell which work is
   no longer wanted: the events of the others may start such work.  */
void
poller_report_first (struct handle h, gboolean is_first)
{
  struct poller_entry *entry = table_get (&poller.entries, h);

  if (entry != NULL)
    entry->is_first = is_first;
}

/* Watch the descriptor H for EVENTS instead.  A descriptor without events is
   removed from the epoll set, because epoll reports a hang-up even if no event
   is requested, and would wake the loop again and again.  */
void
poller_set_events (struct handle h, guint32 events)
{
  struct poller_entry *entry = table_get (&poller.entries, h);
  guint32 previous;

  if (entry == NULL || entry->events == events)
    return;
  previous = entry->events;
  entry->events = events;
  if (previous == 0)
    update_epoll (h, entry, EPOLL_CTL_ADD);
  else if (events == 0)
    update_epoll (h, entry, EPOLL_CTL_DEL);
  else
    update_epoll (h, entry, EPOLL_CTL_MOD);
}

/* Stop watching the descriptor H, which must still be open.  */
void
poller_remove (struct handle h)
{
  if (table_get (&poller.entries, h) == NULL)
    return;
  poller_set_events (h, 0);
  table_remove (&poller.entries, h);
}

/* Forget the descriptor H, which is closed already: the kernel has taken it
   out of the epoll set, and its number may belong to another descriptor.  */
void
poller_forget (struct handle h)
{
  table_remove (&poller.entries, h);
}
