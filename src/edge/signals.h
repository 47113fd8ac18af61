#ifndef BAMBOOTALLY_SIGNALS_H
#define BAMBOOTALLY_SIGNALS_H

#include <glib.h>

/* Handles signals on the main loop through a signalfd, because
   g_unix_signal_add would start a thread.  */

/* Called with the number of a signal that has arrived.  */
typedef void signals_fn (int number, gpointer data);

/* A set of watched signals.  */
struct signals
{
  int fd;         /* signalfd of the signals */
  guint fd_watch; /* source id on the signalfd, 0: none */
  signals_fn *fn; /* called for each signal */
  gpointer data;  /* argument of fn */
};

int signals_init (struct signals *signals, const int *numbers, guint count,
                  signals_fn *fn, gpointer data);
void signals_clear (struct signals *signals);

#endif
