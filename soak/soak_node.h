#ifndef SOAK_NODE_H
#define SOAK_NODE_H

#include "types/address.h"

#include <sys/types.h>

/* A real node process of the soak, started by it and ended by its id.  */

struct soak_node
{
  const char *program_path; /* path of the daemon */
  char *settings_path;      /* path of its settings */
  char *log_path;           /* path of its log */
  pid_t pid;                /* its process, 0: none runs */
  gboolean paused;          /* it was stopped by a signal */
  gint64 start_at;          /* it is started again then */
  gint64 resume_at;         /* it goes on then */
  guint start_count;        /* so far */
};

void soak_node_start (struct soak_node *node);
void soak_node_signal (struct soak_node *node, int number);
void soak_node_step (struct soak_node *node, gint64 now);
void soak_node_kill (struct soak_node *node);

#endif
