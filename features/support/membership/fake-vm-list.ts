import { empty, type Stream } from 'most';

import { VmList, type VmListing } from '../../../src/infrastructure/vm-list.js';

/** VM list that a test modifies in place. */
export class FakeVmList extends VmList {
  constructor(private readonly listing: VmListing) {
    super();
  }

  override current(): VmListing {
    return this.listing;
  }

  override changes(): Stream<VmListing> {
    return empty();
  }
}
