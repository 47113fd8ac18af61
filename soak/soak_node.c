#include "soak/soak_node.h"

#include "types/limits.h"

#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#define RESTART_USEC ((gint64)400000) /* after a process has ended */

extern char **environ;

/* Start the process.  */
void
soak_node_start (struct soak_node *node)
{
  char *argv[] = { (char *)node->program, "--settings", node->settings, NULL };
  posix_spawn_file_actions_t files;

  posix_spawn_file_actions_init (&files);
  posix_spawn_file_actions_addopen (&files, 1, node->log,
                                    O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (posix_spawn (&node->pid, node->program, &files, NULL, argv, environ)
      != 0)
    g_error ("cannot start %s", node->program);
  posix_spawn_file_actions_destroy (&files);
  node->starts++;
  node->paused = FALSE;
}

/* Send signal NUMBER to the process, if one runs.  */
void
soak_node_signal (struct soak_node *node, int number)
{
  if (node->pid == 0)
    return;
  if (number == SIGSTOP)
    node->paused = TRUE;
  else if (number == SIGCONT)
    node->paused = FALSE;
  kill (node->pid, number);
}

/* See whether the process has ended, and start or resume it where that is
   due.  */
void
soak_node_step (struct soak_node *node, gint64 now)
{
  if (node->pid != 0 && waitpid (node->pid, NULL, WNOHANG) == node->pid)
    {
      node->pid = 0;
      node->start_at = MAX (node->start_at, now + RESTART_USEC);
    }
  if (node->pid == 0 && now >= node->start_at)
    soak_node_start (node);
  if (node->paused && now >= node->resume_at)
    soak_node_signal (node, SIGCONT);
}

/* End the process for good.  */
void
soak_node_end (struct soak_node *node)
{
  if (node->pid == 0)
    return;
  kill (node->pid, SIGKILL);
  waitpid (node->pid, NULL, 0);
  node->pid = 0;
}
