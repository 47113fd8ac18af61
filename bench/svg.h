#ifndef BENCH_SVG_H
#define BENCH_SVG_H

#include <glib.h>

/* Writes one bar chart as an SVG picture: a bar a value, its label below and
   its number above.  */

struct svg_bar
{
  char label[64];     /* what the bar stands for */
  gdouble value;      /* its height, not negative */
  const char *colour; /* of the bar, a name that SVG knows */
};

gboolean svg_write (const char *path, const char *title, const char *unit,
                    const GArray *bars);

#endif
