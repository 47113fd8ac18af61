#include "edge/signals.h"

#include <glib-unix.h>
#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

/* A signal came.  */
static gboolean
on_readable (gint fd, GIOCondition condition, gpointer data)
{
  struct signals *signals = data;
  struct signalfd_siginfo info;

  (void)condition;
  if (read (fd, &info, sizeof info) == (ssize_t)sizeof info)
    signals->fn ((int)info.ssi_signo, signals->data);
  return G_SOURCE_CONTINUE;
}

/* Watch the COUNT signals in NUMBERS; FN is told of them with DATA.  Return
   0, or -1 if the system refuses.  */
int
signals_init (struct signals *signals, const int *numbers, guint count,
              signals_fn *fn, gpointer data)
{
  sigset_t set;
  guint i;

  sigemptyset (&set);
  for (i = 0; i < count; i++)
    sigaddset (&set, numbers[i]);
  signals->fn = fn;
  signals->data = data;
  signals->fd_watch = 0;
  signals->fd = -1;
  if (sigprocmask (SIG_BLOCK, &set, NULL) != 0)
    return -1;
  signals->fd = signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (signals->fd < 0)
    return -1;
  signals->fd_watch
      = g_unix_fd_add (signals->fd, G_IO_IN, on_readable, signals);
  return 0;
}

/* Stop watching.  */
void
signals_clear (struct signals *signals)
{
  if (signals->fd_watch != 0)
    g_source_remove (signals->fd_watch);
  if (signals->fd >= 0)
    close (signals->fd);
}
