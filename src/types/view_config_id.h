#ifndef BAMBOOTALLY_VIEW_CONFIG_ID_H
#define BAMBOOTALLY_VIEW_CONFIG_ID_H

#include <glib.h>

/* Which record put a configuration in force.  */

#define CONFIG_HISTORY_SIZE                                                   \
  16u /* configurations whose records are remembered */

struct view_config_id
{
  guint64 offset; /* where the record stands, 0 for none */
  guint64 writer; /* who wrote it */
  guint64 serial; /* its number there */
};

#endif
