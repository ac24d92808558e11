Feature: One commander over the roles of engines

  # Guards against several VMs that order engines because each takes itself for the first (review/6).
  Scenario Outline: <vms> VMs, <digests>, the store is <store>
    When <vms> VMs command 3 times while <digests>, and the store is <store>
    Then no order comes within a lease of an order of another VM
    And no two VMs use the same fencing number, and no number is lower than an earlier one
    And each run has at least <orders> orders

    Examples:
      | vms | digests                           | store             | orders |
      | 2   | all digests arrive                | in order          | 10     |
      | 2   | all digests are lost              | in order          | 2      |
      | 2   | digests are lost at times         | in order          | 0      |
      | 2   | digests are late                  | in order          | 2      |
      | 16  | the digests of one VM are refused | in order          | 2      |
      | 16  | digests are late                  | slow              | 2      |
      | 16  | all digests are lost              | losing answers    | 0      |
      | 80  | all digests are lost              | in order          | 2      |
      | 80  | digests are lost at times         | slow              | 0      |
      | 80  | digests are late                  | losing answers    | 0      |
      | 80  | the digests of one VM are refused | coming back older | 0      |
      | 80  | all digests arrive                | coming back older | 2      |
