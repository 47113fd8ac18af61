#ifndef BAMBOOTALLY_MESH_EXPLAINED_ADMISSION_H
#define BAMBOOTALLY_MESH_EXPLAINED_ADMISSION_H

#include "decide/admission.h"

/* What admission to the local server would do with a request.  */

struct mesh_explained_admission
{
  enum admission_result result;       /* what would be done */
  enum reason reason;                 /* with ADMISSION_REFUSE: why */
  gboolean awaits_grant;              /* the request waits for the grant of its
                                         key */
  gboolean has_forecast;              /* `forecast' is set */
  struct admission_forecast forecast; /* course that is expected of it */
  guint32 busy_slots;                 /* slots in use */
  guint32 slots;                      /* slots of the server */
  guint32 waiting;                    /* requests in the queue */
  gint64 cold_left_msec;              /* until the server is warm */
};

#endif
