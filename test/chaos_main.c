/* chaos SEED SECONDS: one run with verbose output. Called by scripts/soak. */
#include "chaos.h"
#include <stdio.h>
#include <stdlib.h>

int main(int argc, char **argv)
{
	struct chaos_result r;

	if (argc != 3) {
		fprintf(stderr, "chaos SEED SECONDS\n");
		return 2;
	}
	r = chaos_run((uint32_t)atoi(argv[1]), atoi(argv[2]), 1);
	return chaos_broken(&r) ? 1 : 0;
}
