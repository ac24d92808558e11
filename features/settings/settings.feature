Feature: Settings of a daemon

  Scenario: settings that a minimal file leaves out get their defaults
    Given a valid settings file
    When the settings are loaded
    Then the settings have "timeouts.connectMs" at 1000
    And the settings have "platform.log.timeoutMs" at 2000

  Scenario Outline: an invalid field is reported with the value found and the values allowed
    Given a settings file with "<field>" set to <value>
    When the settings are loaded
    Then the settings faults are "<field>: found <found>; allowed is <allowed>"

    Examples:
      | field                  | value           | found                     | allowed                                             |
      | callers.port           | 70000           | 70000                     | a number of at most 65535                           |
      | callers.port           | "80"            | "80"                      | a number                                            |
      | callers.port           | 80.5            | 80.5                      | a whole number                                      |
      | callers.host           | "localhost"     | "localhost"               | an address of the form ipv4, or an address of the form ipv6 |
      | vm.region              | ""              | ""                        | a text with a length of at least 1                  |
      | logs.level             | "loud"          | "loud"                    | one of "debug", "info", "warn", "error"             |
      | platform.log.urls      | []              | []                        | a list with a count of at least 1                   |
      | platform.vmList.url    | "https://x"     | "https://x"               | a URL that starts with "http://"                    |
      | operators.tokenSha256  | "clear token"   | a value that is not shown | text that matches /^[0-9a-f]{64}$/                  |
      | timeouts.connectMs     | 0               | 0                         | a number above 0                                    |
      | extra                  | 1               | an unknown field          | no such field                                       |
      | callers.extra          | 1               | an unknown field          | no such field                                       |
      | rates.homeCount        | 9               | 9                         | a number of at most 8                               |

  Scenario: a missing field is reported
    Given a settings file without "vm.region"
    When the settings are loaded
    Then the settings faults are "vm.region: found nothing; allowed is a string"

  Scenario: all faults are reported at once
    Given a settings file with "callers.port" set to 0
    And the settings file also has "peers.port" set to -1
    And the settings file also has "surprise" set to true
    When the settings are loaded
    Then the settings faults name the fields "callers.port, peers.port, surprise"

  Scenario Outline: a file that cannot be read as JSON is one fault
    Given a settings file that is <state>
    When the settings are loaded
    Then the settings faults name the fields "(file)"

    Examples:
      | state    |
      | missing  |
      | not JSON |

  Scenario Outline: a change file holds one change or a list
    Given a change file with <text>
    When the change file is loaded
    Then loading the change file gives "<answer>"

    Examples:
      | text                                                                    | answer                                                                     |
      | {"kind":"switch-preset","name":"peak"}                                  | switch-preset                                                              |
      | [{"kind":"switch-preset","name":"peak"},{"kind":"remove-team","name":"a"}] | switch-preset, remove-team                                              |
      | [{"kind":"switch-preset","name":"PEAK"}]                                | 0.name: found "PEAK"; allowed is lower-case letters, digits, ".", "_", "-"; at most 63 |
      | [{"kind":"put-team","team":{"name":"a","rate":0,"burst":1}}]            | 0.team.rate: found 0; allowed is a number above 0                          |
      | {"kind":"remove-team","name":"a","extra":1}                             | extra: found an unknown field; allowed is no such field                    |
