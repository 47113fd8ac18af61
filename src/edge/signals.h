#ifndef BAMBOOTALLY_SIGNALS_H
#define BAMBOOTALLY_SIGNALS_H

#include <glib.h>

/* Signals on the main loop through a signalfd: g_unix_signal_add would start
   a thread.  */

/* Told the number of a signal that came.  */
typedef void signals_fn (int number, gpointer data);

/* The signals that are watched.  */
struct signals
{
  int fd;         /* the signalfd */
  guint fd_watch; /* source on it */
  signals_fn *fn; /* told of signals */
  gpointer data;  /* given to fn */
};

int signals_init (struct signals *signals, const int *numbers, guint count,
                  signals_fn *fn, gpointer data);
void signals_clear (struct signals *signals);

#endif
