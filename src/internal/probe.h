/* Asks engines whether they leave while the platform's lists are too old to tell. */
#ifndef SH_PROBE_H
#define SH_PROBE_H

void probe_start(void);
#endif
