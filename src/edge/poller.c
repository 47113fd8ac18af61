#include "edge/poller.h"

#include "types/table.h"

#include <errno.h>
#include <glib-unix.h>
#include <sys/epoll.h>

#define READY_MAX 64 /* descriptors taken from the set at a time */

/* One descriptor.  */
struct poller_entry
{
  int fd;         /* it */
  guint32 wanted; /* POLLER_ bits; nothing is watched while there are none */
  poller_fn *fn;  /* told */
  gpointer data;  /* given to fn */
};

/* The epoll set.  */
struct poller
{
  int set;              /* its descriptor */
  struct table entries; /* struct poller_entry */
};

static struct poller poller = { .set = -1 };

/* Make OPERATION on the descriptor under H.  */
static void
control (struct handle h, const struct poller_entry *entry, int operation)
{
  struct epoll_event event = { .data.u32 = h.bits };

  if (entry->wanted & POLLER_IN)
    event.events |= EPOLLIN;
  if (entry->wanted & POLLER_OUT)
    event.events |= EPOLLOUT;
  if (epoll_ctl (poller.set, operation, entry->fd, &event) != 0)
    g_critical ("epoll_ctl %d of descriptor %d: %s", operation, entry->fd,
                g_strerror (errno));
}

/* Tell what is ready under H.  An error or an end makes ready for all that is
   wanted: the call that follows finds it.  */
static void
tell (struct handle h, guint32 events)
{
  const struct poller_entry *entry = table_get (&poller.entries, h);
  guint32 ready = 0;

  if (entry == NULL)
    return;
  if (events & EPOLLIN)
    ready |= POLLER_IN;
  if (events & EPOLLOUT)
    ready |= POLLER_OUT;
  if (events & (EPOLLERR | EPOLLHUP))
    ready = POLLER_IN | POLLER_OUT;
  ready &= entry->wanted;
  if (ready != 0)
    entry->fn (ready, entry->data);
}

/* Something in the set is ready.  */
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
      tell (h, events[i].events);
    }
  return G_SOURCE_CONTINUE;
}

/* Make the set and have the loop watch it.  */
static void
start (void)
{
  poller.set = epoll_create1 (EPOLL_CLOEXEC);
  if (poller.set < 0)
    g_error ("epoll_create1: %s", g_strerror (errno));
  table_init (&poller.entries, sizeof (struct poller_entry));
  g_unix_fd_add (poller.set, G_IO_IN, on_ready, NULL);
}

/* Watch FD for what is WANTED, POLLER_ bits; FN is told with DATA.  */
struct handle
poller_add (int fd, guint32 wanted, poller_fn *fn, gpointer data)
{
  struct poller_entry *entry;
  struct handle h;

  if (poller.set < 0)
    start ();
  h = table_add (&poller.entries);
  entry = table_get (&poller.entries, h);
  entry->fd = fd;
  entry->wanted = wanted;
  entry->fn = fn;
  entry->data = data;
  if (wanted != 0)
    control (h, entry, EPOLL_CTL_ADD);
  return h;
}

/* Watch the descriptor under H for what is WANTED from now on.  One that
   nothing is wanted of leaves the set, which would tell of its end again and
   again.  */
void
poller_set_events (struct handle h, guint32 wanted)
{
  struct poller_entry *entry = table_get (&poller.entries, h);
  guint32 before;

  if (entry == NULL || entry->wanted == wanted)
    return;
  before = entry->wanted;
  entry->wanted = wanted;
  if (before == 0)
    control (h, entry, EPOLL_CTL_ADD);
  else if (wanted == 0)
    control (h, entry, EPOLL_CTL_DEL);
  else
    control (h, entry, EPOLL_CTL_MOD);
}

/* Watch the descriptor under H no more; it is still open.  */
void
poller_remove (struct handle h)
{
  if (table_get (&poller.entries, h) == NULL)
    return;
  poller_set_events (h, 0);
  table_remove (&poller.entries, h);
}
